#include "Policy/OverloadFleet.h"

#include "LibTeams/Overload.h"

#include <algorithm>
#include <random>

namespace Bench
{
using Configuration::priority_class;

static constexpr std::size_t daemonCount = 9;
static constexpr std::size_t shardCount = 25;
static constexpr std::uint32_t slotsPerShard = 6;
static constexpr std::chrono::milliseconds serviceTime {5};

overload_fleet::overload_fleet(std::uint64_t seed, bool admits)
    : m_random(seed)
    , m_admits(admits)
    , m_daemons(daemonCount)
    , m_shards(shardCount)
{
}

double overload_fleet::draw()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

void overload_fleet::countFor(Core::duration time)
{
    m_countFrom = m_events.now();
    m_countUntil = m_countFrom + time;
    offeredAlerts = 0;
    usefulAlerts = 0;
    useful = 0;
}

bool overload_fleet::counts(const query &counted) const
{
    return counted.startedAt >= m_countFrom && counted.startedAt < m_countUntil;
}

static Core::duration deadlineOf(priority_class priority)
{
    switch (priority) {
    case priority_class::Alert:
        return std::chrono::milliseconds(300);
    case priority_class::Lookup:
        return std::chrono::milliseconds(500);
    case priority_class::Ordinary:
        return std::chrono::milliseconds(1000);
    }
    return {};
}

void overload_fleet::run(double queriesPerSecond, Core::duration time)
{
    const Core::time_point end = m_events.now() + time;
    std::exponential_distribution<double> gap(queriesPerSecond);
    for (Core::time_point at = m_events.now(); at < end; at += Core::fromSeconds(gap(m_random))) {
        m_events.at(at, [this] { arrive(); });
    }
    m_events.runUntil(end);
}

void overload_fleet::arrive()
{
    const double kind = draw();
    query arriving;
    arriving.priority = kind < 0.1 ? priority_class::Alert
        : kind < 0.55              ? priority_class::Lookup
                                   : priority_class::Ordinary;
    arriving.daemon = m_random() % daemonCount;
    arriving.startedAt = m_events.now();
    arriving.deadline = m_events.now() + deadlineOf(arriving.priority);
    arriving.openShards = shardCount;
    offeredAlerts += counts(arriving) && arriving.priority == priority_class::Alert ? 1 : 0;
    if (m_admits && Teams::startLoad(m_daemons[arriving.daemon], arriving.priority, shardCount)) {
        return;
    }
    const std::uint64_t number = m_nextQuery++;
    m_queries[number] = arriving;
    m_events.at(arriving.deadline, [this, number] { end(number, false); });
    for (std::size_t index = 0; index < shardCount; ++index) {
        m_shards[index].waiting.push_back(number);
        start(index);
    }
}

void overload_fleet::start(std::size_t index)
{
    shard &at = m_shards[index];
    while (at.running < slotsPerShard && !at.waiting.empty()) {
        const std::uint64_t number = at.waiting.front();
        at.waiting.pop_front();
        if (!m_queries.contains(number)) {
            continue; // Its deadline has passed.
        }
        ++at.running;
        const Core::duration time = Core::fromSeconds(Core::toSeconds(serviceTime) * (0.5 + draw()));
        m_events.after(time, [this, index, number] { finishShard(index, number); });
    }
}

void overload_fleet::finishShard(std::size_t index, std::uint64_t number)
{
    --m_shards[index].running;
    start(index);
    const auto found = m_queries.find(number);
    if (found != m_queries.end() && --found->second.openShards == 0) {
        end(number, true);
    }
}

void overload_fleet::end(std::uint64_t number, bool answered)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end()) {
        return;
    }
    const query ended = found->second;
    m_queries.erase(found);
    const bool counted = answered && counts(ended);
    useful += counted ? 1 : 0;
    usefulAlerts += counted && ended.priority == priority_class::Alert ? 1 : 0;
    if (m_admits) {
        Teams::endLoad(m_daemons[ended.daemon], ended.priority, shardCount, m_events.now() - ended.startedAt,
                       ended.deadline - ended.startedAt, m_events.now());
    }
}
} // namespace Bench
