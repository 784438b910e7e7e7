#include "LibBackend/SlowStart.h"
#include "Policy/MakeDocument.h"
#include "Policy/QueryDriver.h"
#include "Policy/ReplicaGossip.h"
#include "Policy/Scenarios.h"

#include <algorithm>
#include <memory>

namespace Bench
{
namespace
{
constexpr std::size_t daemons = 9;
constexpr std::size_t shards = 10;
/// Evidence of a restart without notice reaches every daemon, and what ran before ends, within this time.
constexpr std::chrono::seconds evidenceTime {2};

enum class cold_policy {
    OneWarmer, ///< What the daemon does.
    EachAlone, ///< Baseline: each daemon holds its own requests to the bound.
    FixedRamp, ///< Baseline: warm by time alone, a level each second.
};

enum class member_lists {
    Equal,
    Differing,
};

/// Every replica of the first data centre restarts in turn; the others serve.
class cold_start_run
{
public:
    cold_start_run(cold_policy policy, member_lists lists, bool reported, std::uint64_t seed)
        : m_policy(policy)
        , m_reported(reported)
        , m_driver(makeDocument(shards, 3, 2), settingsFor(seed), warmReplica())
    {
        if (policy != cold_policy::EachAlone) {
            m_gossip = std::make_unique<replica_gossip>(m_driver, makeDocument(shards, 3, 2), daemons, seed);
        }
        const Core::time_point start = m_driver.events.now();
        const Core::time_point end = start + std::chrono::seconds(30);
        m_driver.offer(800, end);
        if (lists == member_lists::Differing) {
            m_gossip->disagreeUntil(end);
        }
        for (std::size_t shard = 0; shard < shards; ++shard) {
            const std::string name = "s" + std::to_string(shard) + "-r0";
            m_driver.events.at(start + std::chrono::seconds(6 + shard), [this, name] { restart(name); });
        }
        m_driver.events.runUntil(end + std::chrono::seconds(2));
    }

    /// Most requests that any replica held at once while it was cold.
    [[nodiscard]] std::uint32_t mostWhileCold() const
    {
        std::uint32_t most = 0;
        for (const auto &[name, replica] : m_driver.replicas()) {
            most = std::max(most, replica->mostWhileCold);
        }
        return most;
    }

    /// Replicas of the first data centre that were warm again at the end.
    [[nodiscard]] std::uint32_t warmedUp()
    {
        std::uint32_t warmed = 0;
        for (std::size_t shard = 0; shard < shards; ++shard) {
            warmed += m_driver.replica("s" + std::to_string(shard) + "-r0").settings.cold ? 0U : 1U;
        }
        return warmed;
    }

private:
    static driver_settings settingsFor(std::uint64_t seed)
    {
        driver_settings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        return settings;
    }

    static fake_replica_settings warmReplica()
    {
        fake_replica_settings settings;
        settings.warmingRequests = 200;
        return settings;
    }

    void restart(const std::string &name)
    {
        fake_replica &replica = m_driver.replica(name);
        replica.turnCold(m_reported);
        m_driver.events.after(evidenceTime, [&replica] { replica.mostWhileCold = 0; });
        if (m_policy == cold_policy::FixedRamp) {
            for (std::uint32_t level = 1; level <= Backend::completedSlowStartLevel; ++level) {
                m_driver.events.after(std::chrono::seconds(1) + std::chrono::seconds(level),
                                      [this, name, level] { raise(name, level); });
            }
        }
    }

    void raise(const std::string &name, std::uint32_t level)
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            Backend::service_state &service = m_driver.service(daemon);
            Backend::slow_start_record record = service.replicas[service.byName.at(name)].slowStart;
            ++record.generation; // The baseline trusts time more than reports.
            record.level = level;
            Backend::importSlowStart(service, {record}, m_driver.events.now());
        }
    }

    const cold_policy m_policy;
    const bool m_reported;
    query_driver m_driver;
    std::unique_ptr<replica_gossip> m_gossip;
};

bench_row rowFor(const std::string &scenario, member_lists lists, bool reported)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3, 4, 5};
    std::uint32_t most = 0;
    std::uint32_t alone = 0;
    std::uint32_t ramp = 0;
    for (const std::uint64_t seed : seeds) {
        most = std::max(most, cold_start_run(cold_policy::OneWarmer, lists, reported, seed).mostWhileCold());
    }
    alone = cold_start_run(cold_policy::EachAlone, member_lists::Equal, reported, 1).mostWhileCold();
    ramp = cold_start_run(cold_policy::FixedRamp, lists, reported, 1).mostWhileCold();
    constexpr double bears = 1.0;
    return atMost("most held while cold (fixed ramp " + std::to_string(ramp) + ")", scenario, most, bears, seeds,
                  static_cast<double>(alone));
}
} // namespace

std::vector<bench_row> runColdStart()
{
    std::vector<bench_row> rows;
    rows.push_back(rowFor("cold, reported; baseline each alone", member_lists::Equal, true));
    rows.push_back(rowFor("cold, unreported; baseline each alone", member_lists::Equal, false));
    rows.push_back(rowFor("cold, reported, lists differ", member_lists::Differing, true));
    rows.push_back(rowFor("cold, unreported, lists differ", member_lists::Differing, false));
    const std::vector<std::uint64_t> seeds {1};
    const double warmed = cold_start_run(cold_policy::OneWarmer, member_lists::Equal, true, 1).warmedUp();
    rows.push_back(atLeast("replicas of 10 that warmed up in time", "cold, reported", warmed, shards, seeds));
    return rows;
}
} // namespace Bench
