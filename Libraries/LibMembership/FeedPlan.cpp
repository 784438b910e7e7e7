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
#include <set>
#include <tuple>

namespace Membership
{
/// Number of daemons that a watcher of unknown capacity relays updates to. Each of them costs it a wake-up per update.
static constexpr std::size_t daemonsPerWatcher = 15;
/// Processor share that a watcher needs for each daemon that it relays updates to, in thousandths of a core.
static constexpr std::uint32_t capacityPerDaemon = 8;
/// In a smaller data centre the followers' traffic to another data centre costs less than a watcher's calls to the
/// store.
static constexpr std::size_t minimumDaemonsForOwnWatcher = 15;
static constexpr std::chrono::milliseconds substituteDelay {200};
static constexpr std::chrono::milliseconds otherDelay {1500};
static constexpr std::chrono::milliseconds delayPerRank {20};

static std::size_t relayCapacity(const member_record &watcher)
{
    return watcher.capacity == 0 ? daemonsPerWatcher : std::max<std::size_t>(watcher.capacity / capacityPerDaemon, 1);
}

/// Returns the number of members at the front of `order` that watch the store.
static std::size_t watcherCount(const std::vector<const member_record *> &order, std::size_t dataCentres)
{
    std::size_t count = 0;
    std::size_t relayed = 0;
    while (count < order.size() && relayed < order.size()) {
        relayed += relayCapacity(*order[count++]);
    }
    const std::size_t ownWatchers = std::min(dataCentres, order.size() / minimumDaemonsForOwnWatcher);
    return std::min(order.size(), std::max({count, ownWatchers, Configuration::targetWatcherCount}));
}

/// Moves the first member of each data centre to the front, in the given order. Returns the number of data centres.
static std::size_t preferEachDataCentre(std::vector<const member_record *> &order)
{
    std::set<std::string> seen;
    std::vector<const member_record *> others;
    std::vector<const member_record *> firsts;
    for (const member_record *member : order) {
        (seen.insert(member->dataCentre).second ? firsts : others).push_back(member);
    }
    firsts.insert(firsts.end(), others.begin(), others.end());
    order = std::move(firsts);
    return seen.size();
}

static Core::duration storeFallbackDelay(std::size_t rank, std::size_t watchers)
{
    if (rank < watchers) {
        return {};
    }
    return rank < 2 * watchers ? substituteDelay
                               : otherDelay + delayPerRank * static_cast<std::int64_t>(rank - 2 * watchers);
}

feed_plan planFeed(const member_table &table, const membership_settings &settings,
                   const Configuration::configuration_document &document, Core::time_point now)
{
    std::vector<const member_record *> order = watchOrder(table, settings, document, now);
    const std::size_t watchers = watcherCount(order, preferEachDataCentre(order));
    const auto ownRank = static_cast<std::size_t>(std::find(order.begin(), order.end(), &table.self) - order.begin());
    feed_plan plan;
    plan.watchesStore = ownRank < watchers;
    plan.storeFallbackDelay = storeFallbackDelay(ownRank, watchers);
    const std::uint64_t own = hashName(table.self.name);
    const auto addSources = [&](std::size_t first, std::size_t last) {
        std::vector<const member_record *> sources(order.begin() + static_cast<std::ptrdiff_t>(first),
                                                   order.begin() + static_cast<std::ptrdiff_t>(last));
        std::erase(sources, &table.self);
        const auto rank = [&](const member_record *member) {
            return std::tuple(distanceBetween(document, table.self.dataCentre, member->dataCentre),
                              rendezvousWeight(own, hashName(member->name)));
        };
        std::sort(sources.begin(), sources.end(),
                  [&](const member_record *left, const member_record *right) { return rank(left) < rank(right); });
        for (const member_record *source : sources) {
            plan.sources.push_back(source->peerAddress);
        }
    };
    addSources(0, watchers);
    addSources(watchers, std::min(order.size(), 2 * watchers));
    return plan;
}

configuration_number newestNumber(const member_table &table, const membership_settings &settings, Core::time_point now)
{
    configuration_number newest = table.self.configuration();
    for (const auto &[name, member] : table.members) {
        if (statusOf(table, member, settings, now) == member_status::Live) {
            newest = std::max(newest, member.record.configuration());
        }
    }
    return newest;
}
} // namespace Membership
