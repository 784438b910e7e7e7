#pragma once

#include "LibCore/Time.h"
#include "LibMembership/MemberRecord.h"

namespace Membership
{
/// One other daemon as this daemon sees it.
struct member_state {
    member_record record;
    Core::time_point advancedAt; ///< When a new heartbeat of it was last heard, from whomever.
    int sendsLeft = 0; ///< Times that its record is still passed on unasked.
};
} // namespace Membership
