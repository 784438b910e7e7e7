#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/TakeWarmUpRequest.h"
#include "LibQuery/Attempts.h"
#include "Policy/QueryDriver.h"

namespace Bench
{
void query_driver::sendWarmUp(const driven_query &query, std::size_t shard)
{
    const std::size_t daemon = query.daemon;
    const Core::time_point now = events.now();
    const auto taken = Backend::takeWarmUpRequest(m_services[daemon], Query::filterFor(query.state, shard), now);
    if (!taken) {
        return;
    }
    const std::size_t index = *taken;
    const Backend::replica_state &target = m_services[daemon].replicas[index];
    const Core::duration delay = delayTo(daemon, target);
    ++shardRequests;
    fake_request request;
    request.id = attemptKey(++m_warmUps, 0) | warmUpBit;
    request.requestId = query.state.plan.requestId;
    request.snapshot = query.state.plan.snapshot;
    request.deadline = query.state.plan.deadline;
    request.done = [this, daemon, index, now, delay](const fake_reply &reply) {
        events.after(delay, [this, daemon, index, now, reply] { endWarmUp(daemon, index, events.now() - now, reply); });
    };
    fake_replica &replica = *m_replicas.at(target.name);
    events.after(m_settings.connectionCost + delay,
                 [&replica, request = std::move(request)] { replica.accept(request); });
}

void query_driver::endWarmUp(std::size_t daemon, std::size_t replica, Core::duration latency, const fake_reply &reply)
{
    Backend::service_state &service = m_services[daemon];
    if (!reply.failure) {
        Backend::recordResponse(service, replica, reply.answer.report, latency, events.now());
        return;
    }
    connectFailures += *reply.failure == Backend::attempt_failure::ConnectFailed ? 1 : 0;
    Backend::recordFailure(service, replica, failedAttempt(reply), events.now());
}
} // namespace Bench
