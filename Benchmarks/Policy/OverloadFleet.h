#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/RandomEngine.h"
#include "LibTeams/OverloadState.h"
#include "Policy/EventQueue.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Bench
{
/// Nine daemons that fan queries out to 25 shards of 3 replicas with 2 slots each, on virtual time. Backend servers
/// drop requests whose deadline has passed, as they are told it.
class overload_fleet
{
public:
    static constexpr double capacity = 1200.0; ///< Queries per second that the slots bear.

    overload_fleet(std::uint64_t seed, bool admits);

    /// Offers queries at the rate for a time, a tenth of them alerts.
    void run(double queriesPerSecond, Core::duration time);
    /// Counts anew the queries that are offered during the given time from now on.
    void countFor(Core::duration time);

    std::uint64_t offeredAlerts = 0;
    std::uint64_t usefulAlerts = 0; ///< Answered within their deadline.
    std::uint64_t useful = 0; ///< Of all classes.

private:
    struct query {
        std::size_t daemon = 0;
        Configuration::priority_class priority = Configuration::priority_class::Ordinary;
        Core::time_point startedAt;
        Core::time_point deadline;
        std::size_t openShards = 0;
    };
    struct shard {
        std::uint32_t running = 0;
        std::deque<std::uint64_t> waiting;
    };

    void arrive();
    void start(std::size_t index);
    void finishShard(std::size_t index, std::uint64_t number);
    void end(std::uint64_t number, bool answered);
    [[nodiscard]] bool counts(const query &counted) const;
    [[nodiscard]] double draw();

    event_queue m_events;
    Core::random_engine m_random;
    bool m_admits;
    std::vector<Teams::overload_state> m_daemons;
    std::vector<shard> m_shards;
    std::map<std::uint64_t, query> m_queries;
    Core::time_point m_countFrom;
    Core::time_point m_countUntil;
    std::uint64_t m_nextQuery = 0;
};
} // namespace Bench
