#pragma once

namespace Query
{
/// Why an attempt is sent.
enum class attempt_kind {
    First,
    Retry, ///< The attempts before it have ended.
    Hedge, ///< Another attempt still runs.
};
} // namespace Query
