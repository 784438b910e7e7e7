#include "Policy/FakeReplica.h"

#include "Policy/EventQueue.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Bench
{
using Backend::attempt_failure;

fake_replica::fake_replica(event_queue &events, std::string shard, fake_replica_settings initial, std::uint64_t seed)
    : settings(initial)
    , m_events(events)
    , m_shard(std::move(shard))
    , m_random(seed)
{
}

void fake_replica::reply(const fake_request &request, attempt_failure failure) const
{
    fake_reply reply;
    reply.failure = failure;
    reply.answer.report.incarnation = std::to_string(settings.incarnation);
    reply.answer.report.cold = settings.cold && settings.reportsCold;
    reply.answer.report.leaving = settings.leaving;
    request.done(reply);
}

void fake_replica::accept(fake_request request)
{
    ++received;
    if (settings.down) {
        reply(request, attempt_failure::ConnectFailed);
    } else if (settings.snapshotGone) {
        reply(request, attempt_failure::SnapshotGone);
    } else if (settings.leaving || m_waiting.size() >= settings.longestQueue) {
        reply(request, attempt_failure::NotRun);
    } else {
        m_waiting.push_back(std::move(request));
        startNext();
        if (settings.cold) {
            mostWhileCold =
                std::max<std::uint32_t>(mostWhileCold, static_cast<std::uint32_t>(m_running.size() + m_waiting.size()));
        }
    }
}

void fake_replica::startNext()
{
    while (m_running.size() < settings.slots && !m_waiting.empty()) {
        fake_request request = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (m_events.now() >= request.deadline) {
            reply(request, attempt_failure::NotRun);
            continue;
        }
        ++started;
        ++startedSince;
        if (keepsRuns) {
            ++runsByRequest[request.requestId];
        }
        const std::uint64_t id = request.id;
        m_running[id] = {std::move(request), m_events.now()};
        m_events.after(drawServiceTime(), [this, id] { finish(id); });
    }
}

Core::duration fake_replica::drawServiceTime()
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    constexpr double overloadedColdFactor = 50.0;
    constexpr double coldFactor = 3.0;
    double factor = spread(m_random) * settings.slowFactor;
    factor *= chance(m_random) < settings.stragglerPart ? settings.stragglerFactor : 1.0;
    if (settings.cold) {
        factor *= m_running.size() + m_waiting.size() > settings.coldSlots ? overloadedColdFactor : coldFactor;
    }
    return Core::fromSeconds(Core::toSeconds(settings.serviceTime) * factor);
}

fake_reply fake_replica::makeAnswer(const fake_request &request)
{
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    fake_reply reply;
    if (chance(m_random) < settings.failurePart) {
        reply.failure = attempt_failure::InvalidResponse;
        return reply;
    }
    reply.answer.requestId = settings.wrongRequest ? "another" : request.requestId;
    reply.answer.snapshot = settings.wrongSnapshot ? "another" : request.snapshot;
    reply.answer.shard = m_shard;
    reply.answer.report.incarnation = std::to_string(settings.incarnation);
    reply.answer.report.load = static_cast<double>(m_running.size() + m_waiting.size()) / settings.slots;
    reply.answer.report.cold = settings.cold && settings.reportsCold;
    reply.answer.report.leaving = settings.leaving;
    return reply;
}

void fake_replica::finish(std::uint64_t id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return; // It was cancelled.
    }
    const fake_request request = std::move(found->second.request);
    m_running.erase(found);
    const fake_reply reply = makeAnswer(request);
    if (settings.cold && ++m_answeredWhileCold >= settings.warmingRequests) {
        settings.cold = false;
    }
    request.done(reply);
    startNext();
}

void fake_replica::cancel(std::uint64_t id)
{
    if (!settings.honoursCancellation) {
        return;
    }
    fake_reply reply;
    reply.cancelled = true;
    const auto running = m_running.find(id);
    if (running != m_running.end()) {
        const fake_request request = std::move(running->second.request);
        m_running.erase(running);
        request.done(reply);
        startNext();
        return;
    }
    const auto waiting =
        std::find_if(m_waiting.begin(), m_waiting.end(), [id](const fake_request &entry) { return entry.id == id; });
    if (waiting != m_waiting.end()) {
        const fake_request request = std::move(*waiting);
        m_waiting.erase(waiting);
        request.done(reply);
    }
}

void fake_replica::turnCold(bool announced)
{
    settings.cold = true;
    settings.reportsCold = announced;
    ++settings.incarnation;
    m_answeredWhileCold = 0;
    mostWhileCold = 0;
}
} // namespace Bench
