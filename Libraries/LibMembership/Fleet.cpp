#include "LibMembership/Fleet.h"

#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>

namespace Membership
{
static fleet_member makeMember(const member_record &record, bool live)
{
    return {record.name, hashName(record.name), record.dataCentre, live, record.leaving};
}

fleet makeFleet(const member_table &table, const membership_settings &settings, Core::time_point now)
{
    fleet result;
    result.self = table.self.name;
    result.members.reserve(table.members.size() + 1);
    result.members.push_back(makeMember(table.self, true));
    for (const auto &[name, member] : table.members) {
        result.members.push_back(
            makeMember(member.record, statusOf(table, member, settings, now) != member_status::Dead));
    }
    std::sort(result.members.begin(), result.members.end(),
              [](const fleet_member &left, const fleet_member &right) { return left.name < right.name; });
    return result;
}
} // namespace Membership
