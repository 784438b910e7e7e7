#pragma once

#include "LibCore/Time.h"
#include "LibMembership/MemberRecord.h"

namespace Membership
{
/// Another daemon in this daemon's membership view.
struct member_state {
    member_record record;
    Core::time_point heartbeatAdvancedAt; ///< When its heartbeat last advanced, as reported by any peer.
    bool advancedDirectly = false; ///< The last advance came with a heartbeat message, not with a gossip round.
    int remainingTransmissions = 0; ///< Number of further messages that carry its record without a request.
};
} // namespace Membership
