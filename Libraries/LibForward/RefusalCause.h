#pragma once

namespace Forward
{
/// Why a request was refused without having run.
enum class refusal_cause {
    Overload, ///< The replicas, or this daemon, have more work than they can do in time.
    Unavailable, ///< No replica of a required service can be reached.
    Stopping, ///< This daemon exits before the request could end.
    Starting, ///< This daemon has no configuration yet.
};
} // namespace Forward
