#include "LibQuery/Attempts.h"

#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ReplicaChoice.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ResponseTimeout.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/ShardAvailability.h"
#include "LibQuery/ChoosePeer.h"
#include "LibQuery/QueryState.h"

#include <algorithm>
#include <utility>

namespace Query
{
static constexpr unsigned ordinalBits = 8;
static constexpr std::uint64_t ordinalMask = (1U << ordinalBits) - 1;

static std::uint64_t makeAttemptId(std::size_t shard, std::uint32_t ordinal)
{
    return (static_cast<std::uint64_t>(shard) << ordinalBits) | ordinal;
}

std::size_t shardOfAttempt(std::uint64_t attempt)
{
    return static_cast<std::size_t>(attempt >> ordinalBits);
}

bool isFirstAttempt(std::uint64_t attempt)
{
    return (attempt & ordinalMask) == 1;
}

Backend::replica_filter filterFor(const query_state &query, std::size_t shard)
{
    Backend::replica_filter filter;
    filter.shard = query.plan.shards[shard].name;
    filter.version = query.plan.version;
    filter.dataCentres = &query.plan.dataCentres;
    return filter;
}

static std::optional<std::size_t> chooseUntriedReplica(const query_state &query, const Backend::service_state &service,
                                                       std::size_t shardIndex, Core::time_point now,
                                                       Core::random_engine &random)
{
    const shard_state &shard = query.shards[shardIndex];
    Backend::replica_filter filter = filterFor(query, shardIndex);
    filter.exclude = {shard.triedReplicas.data(), shard.triedReplicas.size()};
    const std::optional<std::size_t> untried = Backend::chooseReplica(service, filter, now, random);
    if (untried || shard.triedReplicas.empty() || !shard.running.empty()) {
        return untried;
    }
    // Every replica was tried. Retry on any of them, since a time-out or a refusal does not mean that the replica
    // failed.
    filter.exclude = {};
    return Backend::chooseReplica(service, filter, now, random);
}

static std::optional<shard_target> chooseTarget(query_state &query, const Backend::service_state &service,
                                                std::size_t shard, Core::time_point now, Core::random_engine &random)
{
    std::string peer;
    if (needsPeer(query, service, shard)) {
        peer = choosePeer(query, service, shard, now, random);
    } else if (const auto replica = chooseUntriedReplica(query, service, shard, now, random)) {
        return shard_target {"", *replica};
    }
    if (peer.empty()) {
        peer = chooseSlowStartOwner(query, service, shard, now);
    }
    if (peer.empty()) {
        return std::nullopt;
    }
    return shard_target {std::move(peer), 0};
}

static Core::time_point attemptDeadline(const query_state &query, const Backend::service_state &service,
                                        const shard_target &target, Core::time_point now)
{
    if (!query.plan.idempotent) {
        return query.plan.deadline; // Not retried after a time-out, so an earlier one gains nothing.
    }
    if (!target.peer.empty()) {
        constexpr int peerTimeoutDivisor = 2;
        return now + (query.plan.deadline - now) / peerTimeoutDivisor;
    }
    return std::min(now + Backend::responseTimeout(service, target.replica), query.plan.deadline);
}

/// Updates the replica's hedge budget: a first attempt earns tokens, a hedge spends one. Returns false if the replica
/// has no token left for a hedge.
static bool updateReplicaHedgeBudget(Backend::service_state &service, std::size_t index, attempt_kind kind)
{
    Backend::replica_state &replica = service.replicas[index];
    if (kind == attempt_kind::Hedge) {
        return Backend::takeHedgeToken(replica);
    }
    if (kind == attempt_kind::First) {
        Backend::earnHedgeToken(replica, service.cancellations.honouredFraction);
    }
    return true;
}

bool sendAttempt(query_state &query, Backend::service_state &service, std::size_t shardIndex, attempt_kind kind,
                 query_effects &effects, Core::time_point now, Core::random_engine &random)
{
    std::optional<shard_target> target = chooseTarget(query, service, shardIndex, now, random);
    if (!target || (target->peer.empty() && !updateReplicaHedgeBudget(service, target->replica, kind))) {
        return false;
    }
    shard_state &shard = query.shards[shardIndex];
    if (target->peer.empty()) {
        Backend::recordSent(service, target->replica, now);
        shard.triedReplicas.push_back(target->replica);
    } else {
        ++service.peers[target->peer].inFlight;
        shard.triedPeers.push_back(target->peer);
    }
    Backend::recordStarted(service.load, 1, now);
    send_attempt send;
    send.attempt = makeAttemptId(shardIndex, ++shard.attemptsSent);
    send.shard = shardIndex;
    send.target = std::move(*target);
    send.timeRemaining = query.plan.deadline - now;
    send.attemptDeadline = attemptDeadline(query, service, send.target, now);
    send.connection = std::exchange(shard.nextConnection, connection_choice::Any);
    shard.running.push_back({send.attempt, send.target, now});
    effects.sends.push_back(std::move(send));
    return true;
}

std::optional<attempt_state> removeAttempt(query_state &query, std::uint64_t attempt)
{
    const std::size_t shard = shardOfAttempt(attempt);
    if (shard >= query.shards.size()) {
        return std::nullopt;
    }
    auto &running = query.shards[shard].running;
    const auto found = std::find_if(running.begin(), running.end(),
                                    [attempt](const attempt_state &candidate) { return candidate.id == attempt; });
    if (found == running.end()) {
        return std::nullopt;
    }
    attempt_state removed = std::move(*found);
    running.erase(found);
    return removed;
}

static void recordPeerFailure(Backend::peer_state &peer, Backend::attempt_failure failure, Core::time_point now)
{
    using Backend::attempt_failure;
    const bool isPeerFault = failure == attempt_failure::ConnectFailed || failure == attempt_failure::ConnectionLost
        || failure == attempt_failure::ResponseTimeout;
    if (!isPeerFault) {
        return;
    }
    constexpr std::chrono::milliseconds initialAvoidance {200};
    constexpr std::uint32_t maximumDoublings = 5;
    peer.avoidUntil = now + initialAvoidance * (1U << std::min(peer.consecutiveFailures, maximumDoublings));
    ++peer.consecutiveFailures;
}

void recordAttemptFailure(Backend::service_state &service, const attempt_state &attempt,
                          const Backend::failed_attempt &failed, Core::time_point now)
{
    Backend::recordEnded(service.load, now);
    if (attempt.target.peer.empty()) {
        Backend::recordFailure(service, attempt.target.replica, failed, now);
        return;
    }
    Backend::peer_state &peer = service.peers[attempt.target.peer];
    --peer.inFlight;
    recordPeerFailure(peer, failed.failure, now);
}

void cancelRunning(query_state &query, Backend::service_state &service, std::size_t shardIndex, query_effects &effects,
                   Core::time_point now)
{
    for (attempt_state &attempt : query.shards[shardIndex].running) {
        if (isFirstAttempt(attempt.id)) {
            Backend::recordLatency(service.firstAttemptLatencies, now - attempt.sentAt);
        }
        if (attempt.target.peer.empty()) {
            Backend::recordOvertaken(service, attempt.target.replica, now - attempt.sentAt, now);
        }
        effects.cancels.push_back({attempt.id, std::move(attempt.target), now});
    }
    query.shards[shardIndex].running.clear();
}
} // namespace Query
