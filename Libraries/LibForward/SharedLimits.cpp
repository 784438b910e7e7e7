#include "LibForward/SharedLimits.h"

#include "LibForward/ReplicaTable.h"
#include "LibForward/RequestLimits.h"
#include "LibForward/RetryEvents.h"
#include "LibForward/SharingState.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/ActiveSet.h"
#include "LibMembership/MemberStatus.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>

namespace Forward
{
/// Fraction of a replica's connections that the daemons share. The rest is a reserve while daemons join and leave, and
/// for daemons that are not active.
static constexpr double sharedConnectionFraction = 0.85;
/// Fraction of a replica's request limit for the daemons that are not active. The active ones share the whole limit;
/// the sum stays below what replicas tolerate.
static constexpr double inactiveFraction = 0.1;

namespace
{
/// The active daemons in this daemon's view, by the hashes of their names.
struct active_view {
    std::vector<std::uint64_t> ownDataCentre;
    std::vector<std::uint64_t> fleet;
    bool includesSelf = false;
};
} // namespace

static active_view viewOf(const Membership::active_sets &active, const Membership::member_record &self)
{
    active_view view;
    for (const auto &[dataCentre, daemons] : active) {
        for (const Membership::member_record *daemon : daemons) {
            const std::uint64_t hash = Membership::hashName(daemon->name);
            view.fleet.push_back(hash);
            if (dataCentre == self.dataCentre) {
                view.ownDataCentre.push_back(hash);
            }
            view.includesSelf = view.includesSelf || daemon == &self;
        }
    }
    return view;
}

static std::vector<std::uint64_t> liveHashes(const Membership::member_table &members,
                                             const Membership::membership_settings &settings, Core::time_point now)
{
    std::vector<std::uint64_t> hashes;
    for (const Membership::member_record *member : Membership::liveMembers(members, settings, now)) {
        hashes.push_back(Membership::hashName(member->name));
    }
    return hashes;
}

static void addSharer(limit_sharers &sharers, const Membership::member_record &daemon,
                      const Configuration::configuration_document &topology)
{
    const auto dataCentre = topology.dataCentres.find(daemon.dataCentre);
    const std::string region = dataCentre == topology.dataCentres.end() ? "" : dataCentre->second.region;
    sharers.byRegion[region].push_back(Membership::hashName(daemon.name));
}

static limit_sharers sharersOf(const Membership::active_sets &active, bool includesSelf,
                               const Membership::member_table &members, const Membership::membership_settings &settings,
                               const Configuration::configuration_document &topology, Core::time_point now)
{
    limit_sharers sharers;
    if (includesSelf) {
        for (const auto &[dataCentre, daemons] : active) {
            for (const Membership::member_record *daemon : daemons) {
                addSharer(sharers, *daemon, topology);
            }
        }
        return sharers;
    }
    sharers.fraction = inactiveFraction;
    for (const Membership::member_record *daemon : Membership::liveMembers(members, settings, now)) {
        addSharer(sharers, *daemon, topology);
    }
    return sharers;
}

std::size_t connectionsPerReplica(const replica_table &replicaTable, double accepted)
{
    const auto daemons = static_cast<double>(std::max<std::size_t>(replicaTable.daemons, 1));
    return static_cast<std::size_t>(std::max(accepted * sharedConnectionFraction / daemons, 1.0));
}

void updateSharedLimits(replica_table &replicaTable, sharing_state &state, const retry_limits &fleetLimits,
                        const Membership::member_table &members, const Membership::membership_settings &settings,
                        const Configuration::configuration_document &topology, Core::time_point now)
{
    const Membership::active_sets active = Membership::activeMembers(members, settings, topology, now);
    const active_view view = viewOf(active, members.self);
    state.isActive = view.includesSelf;
    // A window, and the time after which a replaced daemon's last retries have left every window.
    const Core::duration retention = 2 * fleetLimits.window;
    const std::size_t holders = countRecentlyActive(state.ownDataCentre, view.ownDataCentre, retention, now);
    const std::size_t recentlyActive = countRecentlyActive(state.fleet, view.fleet, retention, now);

    replicaTable.ownHash = Membership::hashName(members.self.name);
    replicaTable.otherHashes = view.includesSelf ? view.fleet : liveHashes(members, settings, now);
    std::erase(replicaTable.otherHashes, replicaTable.ownHash);
    replicaTable.daemons = view.includesSelf ? recentlyActive : replicaTable.otherHashes.size() + 1;
    replicaTable.limitSharers = sharersOf(active, view.includesSelf, members, settings, topology, now);
    updateRequestShares(replicaTable, now);

    const bool holdsSlack = view.includesSelf && Membership::seesMajority(members, settings, now);
    if (!holdsSlack) {
        state.activeSince.reset();
    } else if (!state.activeSince) {
        state.activeSince = now;
    }
    replicaTable.retryLimits = fleetLimits;
    replicaTable.retryLimits.slack =
        holdsSlack ? slackPerDaemon(fleetLimits.slack, topology.dataCentres.size(), holders) : 0.0;
    replicaTable.retryLimits.activeSince = state.activeSince.value_or(now);
}
} // namespace Forward
