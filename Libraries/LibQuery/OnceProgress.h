#pragma once

namespace Query
{
/// How far a non-idempotent request has come at the one daemon that may start it.
enum class once_progress {
    Running,
    Finished,
    Refused, ///< Another daemon asked for it before it arrived; it must never start any more.
};
} // namespace Query
