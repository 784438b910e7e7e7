#pragma once

#include "LibCore/Time.h"
#include "LibMembership/MemberTable.h"

#include <cstddef>
#include <cstdint>

namespace Membership
{
struct membership_settings;
}

namespace Bench
{
/// Two daemons of a settled fleet, each of which has heard anew from half of the members since their last exchange.
struct exchanging_pair {
    Membership::member_table first;
    Membership::member_table second;
};

/// Makes a pair that knows `members` members, the two included.
[[nodiscard]] exchanging_pair makeExchangingPair(std::size_t members, const Membership::membership_settings &settings);

/// Runs one exchange of the pair, in which every other member has reached heartbeat `round`, and returns its bytes on
/// the wire in both directions.
double runExchange(exchanging_pair &pair, std::size_t members, std::uint64_t round,
                   const Membership::membership_settings &settings, Core::time_point now);

/// Runs exchanges until no record is new any more. Returns the last round.
std::uint64_t settlePair(exchanging_pair &pair, std::size_t members, const Membership::membership_settings &settings,
                         Core::time_point &now);
} // namespace Bench
