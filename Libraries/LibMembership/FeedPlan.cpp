#include "LibMembership/FeedPlan.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/WatchCandidate.h"
#include "LibConfiguration/WatchPlan.h"
#include "LibMembership/Distance.h"
#include "LibMembership/MemberStatus.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <tuple>

namespace Membership
{
/// Number of daemons that one watcher relays updates to. Each of them costs the watcher a wake-up per update.
static constexpr std::size_t daemonsPerWatcher = 15;

static std::size_t watcherCount(std::size_t daemons)
{
    return std::max(Configuration::targetWatcherCount, (daemons + daemonsPerWatcher - 1) / daemonsPerWatcher);
}

feed_plan planFeed(const member_table &table, const membership_settings &settings,
                   const Configuration::configuration_document &document, Core::time_point now)
{
    std::vector<const member_record *> order = watchOrder(table, settings, document, now);
    order.resize(std::min(order.size(), watcherCount(order.size())));
    feed_plan plan;
    plan.watchesStore = std::find(order.begin(), order.end(), &table.self) != order.end();
    std::erase(order, &table.self);
    const std::uint64_t own = hashName(table.self.name);
    std::sort(order.begin(), order.end(), [&](const member_record *left, const member_record *right) {
        const auto rank = [&](const member_record *member) {
            return std::tuple(distanceBetween(document, table.self.dataCentre, member->dataCentre),
                              rendezvousWeight(own, hashName(member->name)));
        };
        return rank(left) < rank(right);
    });
    for (const member_record *watcher : order) {
        plan.sources.push_back(watcher->peerAddress);
    }
    return plan;
}

std::uint64_t newestNumber(const member_table &table, const membership_settings &settings, Core::time_point now)
{
    std::uint64_t newest = table.self.configurationNumber;
    for (const auto &[name, member] : table.members) {
        if (statusOf(table, member, settings, now) == member_status::Live) {
            newest = std::max(newest, member.record.configurationNumber);
        }
    }
    return newest;
}
} // namespace Membership
