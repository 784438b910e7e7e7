#pragma once

namespace Membership
{
/// The liveness of a member in this daemon's membership view.
enum class member_status {
    Live, ///< Its heartbeat advances.
    Suspected, ///< No heartbeat for `suspectPeriods`: it is not handed out to callers, but keeps its ownership.
    Dead, ///< No heartbeat for `deadPeriods`, or never any: it owns nothing, but is still probed occasionally.
};
} // namespace Membership
