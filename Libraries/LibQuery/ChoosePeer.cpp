#include "LibQuery/ChoosePeer.h"

#include "LibBackend/ReplicaChoice.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/ShardAvailability.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/QueryState.h"

#include <algorithm>
#include <random>
#include <vector>

namespace Query
{
static const Backend::shard_owners *findOwners(const query_state &query, const Backend::service_state &service,
                                               std::size_t shard)
{
    const auto found = service.ownersByShard.find(query.plan.shards[shard].name);
    return found == service.ownersByShard.end() ? nullptr : &found->second;
}

bool needsPeer(const query_state &query, const Backend::service_state &service, std::size_t shard)
{
    if (query.plan.ownReplicasOnly || service.ownersByShard.empty()) {
        return false;
    }
    const Backend::shard_owners *owners = findOwners(query, service, shard);
    return owners != nullptr && !owners->own && !owners->peers.empty();
}

static bool isAvoided(const Backend::service_state &service, const std::string &peer, Core::time_point now)
{
    const auto found = service.peers.find(peer);
    return found != service.peers.end() && now < found->second.avoidUntil;
}

static std::uint32_t inFlightAt(const Backend::service_state &service, const std::string &peer)
{
    const auto found = service.peers.find(peer);
    return found == service.peers.end() ? 0 : found->second.inFlight;
}

static bool wasTried(const shard_state &shard, const std::string &peer)
{
    return std::find(shard.triedPeers.begin(), shard.triedPeers.end(), peer) != shard.triedPeers.end();
}

static std::vector<const std::string *> untriedOwners(const query_state &query, const Backend::service_state &service,
                                                      std::size_t shard, Core::time_point now)
{
    std::vector<const std::string *> healthy;
    std::vector<const std::string *> avoided;
    for (const std::string &peer : findOwners(query, service, shard)->peers) {
        if (!wasTried(query.shards[shard], peer)) {
            (isAvoided(service, peer, now) ? avoided : healthy).push_back(&peer);
        }
    }
    return healthy.empty() ? avoided : healthy;
}

std::string choosePeer(query_state &query, const Backend::service_state &service, std::size_t shard,
                       Core::time_point now, Core::random_engine &random)
{
    for (const std::string &used : query.peers) {
        const std::vector<std::string> &owners = findOwners(query, service, shard)->peers;
        const bool owns = std::find(owners.begin(), owners.end(), used) != owners.end();
        if (owns && !wasTried(query.shards[shard], used) && !isAvoided(service, used, now)) {
            return used;
        }
    }
    const std::vector<const std::string *> owners = untriedOwners(query, service, shard, now);
    if (owners.empty()) {
        return {};
    }
    // The owners are sorted by distance, nearest first. With two regions the nearer half is in this daemon's own
    // region, which avoids the latency between regions. At least two candidates are kept for the choice by load.
    constexpr std::size_t minimumCandidates = 2;
    const std::size_t near = std::min(owners.size(), std::max(minimumCandidates, (owners.size() + 1) / 2));
    std::uniform_int_distribution<std::size_t> draw(0, near - 1);
    const std::string &first = *owners[draw(random)];
    const std::string &second = *owners[draw(random)];
    const std::string &chosen = inFlightAt(service, first) <= inFlightAt(service, second) ? first : second;
    query.peers.push_back(chosen);
    return chosen;
}

std::string chooseSlowStartOwner(const query_state &query, const Backend::service_state &service, std::size_t shard,
                                 Core::time_point now)
{
    if (query.plan.ownReplicasOnly) {
        return {};
    }
    Backend::shard_availability available = Backend::availabilityOf(service, filterFor(query, shard), now);
    if (available.state != Backend::availability::SlowStartElsewhere
        || wasTried(query.shards[shard], available.slowStartOwner)) {
        return {};
    }
    return std::move(available.slowStartOwner);
}
} // namespace Query
