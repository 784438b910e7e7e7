#pragma once

namespace Query
{
/// State of a non-idempotent request at the only daemon that may start it.
enum class at_most_once_progress {
    Running,
    Finished,
    Refused, ///< Another daemon inquired about the request before it arrived; it must never start.
};
} // namespace Query
