#include "LimitedFleet.h"

#include "Fixtures.h"

#include "LibForward/MakePlan.h"
#include "LibForward/PartialResult.h"
#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestEvents.h"
#include "LibForward/RequestLimits.h"
#include "LibForward/SendAttempt.h"
#include "LibForward/SharedLimits.h"
#include "LibForward/TrafficConfiguration.h"
#include "LibMembership/ActiveSet.h"
#include "LibMembership/Membership.h"

#include <algorithm>
#include <random>

namespace Simulation
{
using namespace std::chrono_literals;

static constexpr std::size_t replicasPerShard = 3;
static constexpr Core::duration roundInterval = 1s;
static constexpr Core::duration serviceTime = 10ms;
static constexpr Core::duration nearRoundTrip = 1ms;
static constexpr Core::duration farRoundTrip = 20ms;
static constexpr double staleCallers = 0.02; ///< Fraction of the requests that arrive at daemons that are not active.
static constexpr Core::duration window = 4s;
static constexpr Core::duration toldDelay = 500ms;

limited_fleet::limited_fleet(std::size_t daemons, std::size_t dataCentres, std::size_t shards, double minimumCoverage)
    : m_configuration(Fixtures::scatterGatherConfiguration(shards, minimumCoverage))
    , m_shards(shards)
{
    m_settings.minimumActiveMembers = 3;
    for (std::size_t index = 0; index < dataCentres; ++index) {
        m_topology.dataCentres["dc-" + std::to_string(index)].region = "r-" + std::to_string(index);
    }
    m_daemons.resize(daemons);
    for (std::size_t index = 0; index < daemons; ++index) {
        restart(index);
    }
}

void limited_fleet::restart(std::size_t daemon)
{
    m_daemons[daemon] = std::make_unique<simulated_daemon>();
    simulated_daemon &started = *m_daemons[daemon];
    started.table = Membership::makeTable(Fixtures::memberRecord(daemon, m_topology.dataCentres.size()), {}, m_now);
    for (std::size_t other = 0; other < m_daemons.size(); ++other) {
        if (other != daemon) {
            Membership::mergeRecord(started.table, Fixtures::memberRecord(other, m_topology.dataCentres.size()),
                                    m_settings, m_now);
        }
    }
    Forward::replica_table &replicaTable = started.context.replicaTable;
    replicaTable.ownDataCentre = started.table.self.dataCentre;
    for (const auto &[name, dataCentre] : m_topology.dataCentres) {
        replicaTable.regionsByDataCentre[name] = dataCentre.region;
    }
    started.context.random.seed(daemon + 1);
    for (std::size_t shard = 0; shard < m_shards; ++shard) {
        const std::string service = "s" + std::to_string(shard);
        for (std::size_t dataCentre = 0; dataCentre < replicasPerShard; ++dataCentre) {
            const std::string name = "dc-" + std::to_string(dataCentre);
            Forward::replica_registration registration =
                Fixtures::replicaRegistration(service + "@" + name, service, name);
            registration.slots = 100;
            Forward::applyRegistration(replicaTable, registration, m_now);
        }
    }
    runRound(daemon);
}

void limited_fleet::setLimit(std::size_t shard, std::size_t dataCentre, double perSecond)
{
    m_limits[{shard, dataCentre}] = perSecond;
}

void limited_fleet::moveCallers(std::size_t dataCentre)
{
    m_callersOf.clear();
    for (std::size_t index = dataCentre; index < m_daemons.size(); index += m_topology.dataCentres.size()) {
        if (m_daemons[index]->active) {
            m_callersOf.push_back(index);
        }
    }
}

void limited_fleet::spreadCallers()
{
    m_callersOf.clear();
}

void limited_fleet::runRound(std::size_t daemon)
{
    simulated_daemon &running = *m_daemons[daemon];
    std::bernoulli_distribution isHeard(heardFraction);
    for (auto &[name, member] : running.table.members) {
        if (isHeard(m_random)) {
            member.heartbeatAdvancedAt = m_now;
        }
    }
    running.table.lastPeerMessageAt = m_now;
    Forward::updateSharedLimits(running.context.replicaTable, running.sharing,
                                {.ratio = 0.2, .slack = 58.0, .window = 10s}, running.table, m_settings, m_topology,
                                m_now);
    running.active = running.sharing.isActive;
}

void limited_fleet::runRounds()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        runRound(index);
    }
    at(m_now + roundInterval, [this]() { runRounds(); });
}

void limited_fleet::at(Core::time_point when, std::function<void()> work)
{
    m_events.push({when, m_order++, std::move(work)});
}

void limited_fleet::run(double requestsPerSecond, Core::duration length)
{
    const Core::time_point end = m_now + length;
    if (m_events.empty()) {
        runRounds();
    }
    std::exponential_distribution<double> gap(requestsPerSecond);
    for (Core::time_point when = m_now; when < end; when += Core::fromSeconds(gap(m_random))) {
        at(when, [this]() { startRequest(pickDaemon()); });
    }
    while (!m_events.empty() && m_events.top().when < end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.work();
    }
    m_now = end;
}

std::size_t limited_fleet::pickDaemon()
{
    if (!m_callersOf.empty()) {
        return m_callersOf[m_random() % m_callersOf.size()];
    }
    const bool isStale = std::bernoulli_distribution(staleCallers)(m_random);
    while (true) {
        const std::size_t index = m_random() % m_daemons.size();
        if (isStale || m_daemons[index]->active) {
            return index;
        }
    }
}

void limited_fleet::startRequest(std::size_t daemon)
{
    ++totals.requests;
    simulated_daemon &serving = *m_daemons[daemon];
    const auto request = std::make_shared<running_request>();
    request->daemon = daemon;
    const Forward::route &matched = m_configuration->routes.front();
    request->state.plan = Forward::makePlan(m_configuration, matched, matched.timeout, serving.context, m_now);
    applyEffects(request, Forward::startRequest(request->state, serving.context, m_now));
}

void limited_fleet::applyEffects(const std::shared_ptr<running_request> &request,
                                 const Forward::request_effects &effects)
{
    simulated_daemon &daemon = *m_daemons[request->daemon];
    for (const Forward::send_attempt &send : effects.sends) {
        ++totals.attempts;
        m_arrivals[send.replica].push_back(m_now);
        const auto told = daemon.toldAt.find(send.replica);
        if (told != daemon.toldAt.end() && m_now - told->second >= toldDelay) {
            m_countedArrivals[send.replica].push_back(m_now);
        }
        const auto &registration = Forward::replicaAt(daemon.context.replicaTable, send.replica).registration;
        const bool isNear = registration.dataCentre == daemon.table.self.dataCentre;
        const Core::time_point sentAt = m_now;
        at(m_now + serviceTime + (isNear ? nearRoundTrip : farRoundTrip),
           [this, request, send, sentAt]() { answer(request, send, sentAt); });
    }
    if (effects.finished) {
        const bool isAnswered = *effects.finished == Forward::request_outcome::Answered;
        totals.answered += isAnswered ? 1 : 0;
        totals.whole += isAnswered && request->state.answeredSubrequests == m_shards ? 1 : 0;
        totals.refused += *effects.finished == Forward::request_outcome::NotRun ? 1 : 0;
    } else if (effects.wakeAt && !request->state.finished) {
        at(std::max(*effects.wakeAt, m_now), [this, request]() {
            applyEffects(request, Forward::onTimer(request->state, m_daemons[request->daemon]->context, m_now));
        });
    }
}

void limited_fleet::answer(const std::shared_ptr<running_request> &request, const Forward::send_attempt &send,
                           Core::time_point sentAt)
{
    simulated_daemon &daemon = *m_daemons[request->daemon];
    Forward::replica_state &replica = Forward::replicaAt(daemon.context.replicaTable, send.replica);
    const auto limit = m_limits.find(send.replica);
    const bool isLimited = limit != m_limits.end() && limit->second > 0.0;
    static_cast<void>(Forward::recordRequestLimit(daemon.context.replicaTable, replica,
                                                  isLimited ? std::optional(limit->second) : std::nullopt, m_now));
    if (isLimited) {
        daemon.toldAt.try_emplace(send.replica, m_now);
    } else {
        daemon.toldAt.erase(send.replica);
    }
    Forward::recordAnswer(daemon.context.replicaTable, send.replica, sentAt, m_now);
    if (!request->state.finished) {
        applyEffects(request,
                     Forward::onAnswer(request->state, daemon.context, send.attempt, {"digest", "records"}, m_now));
    }
}

std::size_t limited_fleet::mostRequestsIn4Seconds(std::size_t shard, std::size_t dataCentre,
                                                  Core::time_point from) const
{
    const auto found = m_countedArrivals.find({shard, dataCentre});
    if (found == m_countedArrivals.end()) {
        return 0;
    }
    const std::vector<Core::time_point> &arrivals = found->second;
    std::size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from); first != arrivals.end(); ++first) {
        const auto last = std::upper_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

double limited_fleet::meanRate(std::size_t shard, std::size_t dataCentre, Core::time_point from) const
{
    const auto found = m_arrivals.find({shard, dataCentre});
    if (found == m_arrivals.end()) {
        return 0.0;
    }
    const auto first = std::lower_bound(found->second.begin(), found->second.end(), from);
    return static_cast<double>(found->second.end() - first) / Core::toSeconds(m_now - from);
}

Core::time_point limited_fleet::now() const
{
    return m_now;
}
} // namespace Simulation
