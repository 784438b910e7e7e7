#include "LibMembership/StaleRegistrations.h"

#include "LibMembership/MemberTable.h"

namespace Membership
{
using namespace std::chrono_literals;

static constexpr Core::duration maximumSilence = 10min; ///< Most partitions and outages are shorter.
/// A listed VM that is not a member is probed between two listings.
static constexpr unsigned maximumUnknownListings = 3;

std::vector<std::string> findStaleRegistrations(unknown_registrations &unknown, const member_table &table,
                                                const std::set<std::string> &listed, Core::time_point now)
{
    std::erase_if(unknown, [&](const auto &entry) {
        return !listed.contains(entry.first) || table.members.contains(entry.first);
    });
    std::vector<std::string> stale;
    for (const std::string &name : listed) {
        if (name == table.self.name) {
            continue;
        }
        const auto member = table.members.find(name);
        const bool isGone = member == table.members.end() ? ++unknown[name] >= maximumUnknownListings
                                                          : now - member->second.heartbeatAdvancedAt > maximumSilence;
        if (isGone) {
            stale.push_back(name);
        }
    }
    return stale;
}
} // namespace Membership
