#include "WarmUpRequests.h"

#include "DaemonState.h"
#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ResponseTimeout.h"
#include "LibBackend/TakeWarmUpRequest.h"
#include "LibPlatform/BackendCodec.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"
#include "LibPlatform/HttpClient.h"
#include "LibPlatform/ShardCall.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/SendAttempt.h"
#include "LibQuery/ShardAnswer.h"
#include "MakeShardCall.h"
#include "RunningQuery.h"
#include "ServiceShard.h"
#include "WarmUpRequest.h"

#include <chrono>

warm_up_requests::warm_up_requests(daemon_state &daemon, Platform::http_client &client)
    : m_daemon(daemon)
    , m_client(client)
{
}

static std::vector<warm_up_request> takeDueWarmUpRequests(const running_query &running,
                                                          const std::vector<Query::send_attempt> &sends)
{
    std::vector<warm_up_request> requests;
    const Core::time_point now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(running.service->mutex);
    Backend::service_state &service = running.service->state;
    for (const Query::send_attempt &attempt : sends) {
        if (!attempt.target.peer.empty() || !Query::isFirstAttempt(attempt.attempt)) {
            continue;
        }
        const auto replica = Backend::takeWarmUpRequest(service, Query::filterFor(running.state, attempt.shard), now);
        if (replica) {
            const Backend::replica_state &cold = service.replicas[*replica];
            requests.push_back({attempt.shard, *replica, cold.settings.address, attempt.timeRemaining,
                                Backend::maximumConnectionAge(cold, now)});
        }
    }
    return requests;
}

void warm_up_requests::copy(const running_query &running, const std::vector<Query::send_attempt> &sends)
{
    if (!running.state.plan.idempotent) {
        return;
    }
    for (const warm_up_request &request : takeDueWarmUpRequests(running, sends)) {
        send(running, request);
    }
}

/// Records the outcome of a warm-up request. A response that belongs to another request counts as a fault of the
/// replica.
static void recordOutcome(service_shard &service, std::size_t replica, const Platform::shard_call &call,
                          Core::time_point sentAt, const Platform::call_outcome &outcome)
{
    const auto end = Platform::decodeShardAnswer(outcome);
    const Core::time_point now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(service.mutex);
    if (const auto *failed = std::get_if<Backend::failed_attempt>(&end)) {
        Backend::recordFailure(service.state, replica, *failed, now);
        return;
    }
    const auto &answer = std::get<Query::shard_answer>(end);
    if (answer.requestId != call.requestId || answer.snapshot != call.snapshot || answer.shard != call.shard) {
        Backend::recordFailure(service.state, replica, Backend::attempt_failure::InvalidResponse, now);
        return;
    }
    Backend::recordResponse(service.state, replica, answer.report, now - sentAt, now);
}

void warm_up_requests::send(const running_query &running, const warm_up_request &request)
{
    Platform::shard_call call = makeShardCall(running, request.shard, request.address);
    call.attemptId = running.attemptPrefix + "warm-up-" + std::to_string(request.shard);
    call.timeRemaining = request.timeRemaining;
    call.traceParent = running.task.request.traceParent;
    Platform::http_call encoded = Platform::encodeShardCall(call);
    // A slow copy gets no shorter timeout: the replica would keep processing it, and the next copy would run alongside
    // it.
    encoded.maximumConnectionAge = request.maximumConnectionAge;
    m_daemon.metrics.extraShardRequests.add(1);
    const Core::time_point sentAt = std::chrono::steady_clock::now();
    service_shard &service = *running.service;
    m_client.start(
        std::move(encoded),
        [&service, replica = request.replica, call = std::move(call), sentAt](const Platform::call_outcome &outcome) {
            recordOutcome(service, replica, call, sentAt, outcome);
        });
}
