#pragma once

namespace Membership
{
/// What a daemon thinks of another one.
enum class member_status {
    Live, ///< Its heartbeat advances.
    Suspected, ///< No heartbeat for a while: it gets no new callers but keeps what it owns.
    Dead, ///< No heartbeat for long, or never any: it owns nothing but is still tried now and then.
};
} // namespace Membership
