#include "LibBackend/SlowStart.h"
#include "Policy/MakeDocument.h"
#include "Policy/Quantile.h"
#include "Policy/QueryDriver.h"
#include "Policy/ReplicaGossip.h"
#include "Policy/Scenarios.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Bench
{
namespace
{
constexpr std::size_t daemons = 9;
constexpr std::chrono::seconds graceTime {3};
constexpr double queriesPerSecond = 480; ///< 40% of 75 replicas with 2 slots of 5 ms, 25 shards a query.

enum class return_policy {
    WarmUps, ///< What the daemon does.
    NoWarmUps, ///< Baseline: cold replicas get only what queries choose them for.
    NoAllowance, ///< Baseline: every daemon sends to cold replicas as to warm ones.
};

/// One run: 20 s steady, 10 min out, 60 s back. Within the ten minutes load is offered in the first and last 20 s.
class outage_run
{
public:
    outage_run(return_policy policy, std::uint64_t seed)
        : m_policy(policy)
        , m_document(makeDocument(25, 3, 2))
        , m_driver(m_document, settingsFor(policy, seed), {})
        , m_gossip(m_driver, m_document, daemons, seed)
        , m_start(m_driver.events.now())
        , m_out(m_start + std::chrono::seconds(20))
        , m_back(m_out + std::chrono::minutes(10))
        , m_end(m_back + std::chrono::seconds(60))
    {
        m_driver.offer(queriesPerSecond, m_out + std::chrono::seconds(20));
        m_driver.events.at(m_out, [this] { patch(true); });
        m_driver.events.at(m_out + graceTime, [this] { countFromNow(); });
        m_driver.events.at(m_back - std::chrono::seconds(20), [this] { m_driver.offer(queriesPerSecond, m_end); });
        m_driver.events.at(m_back, [this] { comeBack(); });
        m_driver.events.runUntil(m_end + std::chrono::seconds(2));
    }

    std::uint64_t newWork = 0; ///< Requests to the data centre from 3 s after the patch until its return.
    std::uint32_t mostWhileCold = 0;

    [[nodiscard]] double ratioOut() const
    {
        return latencyQuantile(m_driver.records, 0.99, m_out, m_back) / steady();
    }
    [[nodiscard]] double ratioBack() const
    {
        return latencyQuantile(m_driver.records, 0.99, m_back, m_end) / steady();
    }
    /// The part of all queries from the patch on that covered everything.
    [[nodiscard]] double wholePart() const
    {
        std::size_t whole = 0;
        std::size_t all = 0;
        for (const query_record &record : m_driver.records) {
            if (record.startedAt >= m_out) {
                ++all;
                whole += record.trueCoverage >= 1.0 ? 1 : 0;
            }
        }
        return static_cast<double>(whole) / static_cast<double>(all);
    }
    /// Until every daemon used every replica as a warm one, and it was; the whole watched time if that never was.
    [[nodiscard]] double secondsUntilWarm() const
    {
        return Core::toSeconds(m_warmAt.value_or(m_end) - m_back);
    }
    /// Requests beyond the first ones since the return, as part of the first ones.
    [[nodiscard]] double extraLoadBack() const
    {
        const auto sent = m_driver.shardRequests - m_driver.connectFailures - m_sentBefore;
        return static_cast<double>(sent) / static_cast<double>(m_driver.firstRequests - m_firstBefore) - 1.0;
    }
    void readReplicas()
    {
        for (const auto &[name, replica] : m_driver.replicas()) {
            mostWhileCold = std::max(mostWhileCold, replica->mostWhileCold);
        }
    }

private:
    static driver_settings settingsFor(return_policy policy, std::uint64_t seed)
    {
        driver_settings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        settings.warmsUp = policy == return_policy::WarmUps;
        return settings;
    }

    [[nodiscard]] double steady() const
    {
        return latencyQuantile(m_driver.records, 0.99, m_start + std::chrono::seconds(5), m_out);
    }

    static bool isInside(const std::string &replica)
    {
        return replica.ends_with("-r0");
    }

    /// Puts the change in force at one daemon after the other within a second.
    void patch(bool out)
    {
        ++m_document.number;
        m_document.dataCentres.at("dc0").out = out;
        m_driver.applyGradually(m_document, std::chrono::seconds(1));
    }

    void countFromNow()
    {
        for (const auto &[name, replica] : m_driver.replicas()) {
            replica->received = 0;
        }
    }

    void comeBack()
    {
        for (const auto &[name, replica] : m_driver.replicas()) {
            if (isInside(name)) {
                newWork += replica->received;
                replica->turnCold(m_policy != return_policy::NoAllowance);
            }
        }
        m_sentBefore = m_driver.shardRequests - m_driver.connectFailures;
        m_firstBefore = m_driver.firstRequests;
        patch(false);
        if (m_policy == return_policy::NoAllowance) {
            m_driver.events.after(std::chrono::seconds(1), [this] { openAll(); });
        }
        m_driver.events.after(std::chrono::seconds(2), [this] { watchWarmth(); });
    }

    /// Makes every daemon believe that the replicas are warm.
    void openAll()
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            Backend::service_state &service = m_driver.service(daemon);
            for (const Backend::replica_state &replica : service.replicas) {
                const auto incarnation = std::to_string(m_driver.replica(replica.name).settings.incarnation);
                const Backend::slow_start_record warm {replica.name, m_document.number, 1, incarnation,
                                                       Backend::completedSlowStartLevel};
                Backend::importSlowStart(service, {warm}, m_driver.events.now());
            }
        }
    }

    [[nodiscard]] bool allWarm()
    {
        for (const auto &[name, replica] : m_driver.replicas()) {
            if (replica->settings.cold) {
                return false;
            }
        }
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            for (const Backend::replica_state &replica : m_driver.service(daemon).replicas) {
                if (replica.slowStart.level < Backend::completedSlowStartLevel) {
                    return false;
                }
            }
        }
        return true;
    }

    void watchWarmth()
    {
        if (allWarm()) {
            m_warmAt = m_driver.events.now();
            return;
        }
        m_driver.events.after(std::chrono::milliseconds(100), [this] { watchWarmth(); });
    }

    const return_policy m_policy;
    Configuration::configuration_document m_document;
    query_driver m_driver;
    replica_gossip m_gossip;
    const Core::time_point m_start;
    const Core::time_point m_out;
    const Core::time_point m_back;
    const Core::time_point m_end;
    std::uint64_t m_sentBefore = 0; ///< Requests that reached replicas before the return.
    std::uint64_t m_firstBefore = 0;
    std::optional<Core::time_point> m_warmAt;
};
} // namespace

static std::vector<bench_row> baselineRows(return_policy policy, const std::string &scenario)
{
    outage_run run(policy, 1);
    run.readReplicas();
    const std::vector<std::pair<std::string, double>> figures {
        {"p99 after the return / steady", run.ratioBack()},
        {"most held while cold", run.mostWhileCold},
        {"s until all replicas are warm", run.secondsUntilWarm()},
        {"extra load after the return", run.extraLoadBack()},
    };
    std::vector<bench_row> rows;
    for (const auto &[measure, value] : figures) {
        bench_row row;
        row.measure = measure;
        row.scenario = scenario;
        row.value = value;
        row.seeds = {1};
        rows.push_back(row);
    }
    return rows;
}

std::vector<bench_row> runDataCentreOut()
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    double newWork = 0.0;
    double wholePart = 1.0;
    double ratioOut = 0.0;
    double ratioBack = 0.0;
    double mostWhileCold = 0.0;
    double secondsUntilWarm = 0.0;
    double extraLoad = 0.0;
    for (const std::uint64_t seed : seeds) {
        outage_run run(return_policy::WarmUps, seed);
        run.readReplicas();
        newWork = std::max(newWork, static_cast<double>(run.newWork));
        wholePart = std::min(wholePart, run.wholePart());
        ratioOut = std::max(ratioOut, run.ratioOut());
        ratioBack = std::max(ratioBack, run.ratioBack());
        mostWhileCold = std::max(mostWhileCold, static_cast<double>(run.mostWhileCold));
        secondsUntilWarm = std::max(secondsUntilWarm, run.secondsUntilWarm());
        extraLoad = std::max(extraLoad, run.extraLoadBack());
    }
    const std::string scenario = "data centre out 10 min and back, 40% load";
    constexpr double mostRatio = 1.5;
    constexpr double mostSecondsUntilWarm = 60.0;
    constexpr double mostExtraLoad = 0.05;
    std::vector<bench_row> rows {
        atMost("requests later than 3 s after the patch", scenario, newWork, 0.0, seeds),
        atLeast("part of queries with coverage 1", scenario, wholePart, 0.999, seeds),
        atMost("p99 while out / steady", scenario, ratioOut, mostRatio, seeds),
        atMost("p99 after the return / steady", scenario, ratioBack, mostRatio, seeds),
        atMost("most held while cold", scenario, mostWhileCold, 1.0, seeds),
        atMost("s until all replicas are warm", scenario, secondsUntilWarm, mostSecondsUntilWarm, seeds),
        atMost("extra load after the return", scenario, extraLoad, mostExtraLoad, seeds),
    };
    for (const auto &[policy, name] : {std::pair(return_policy::NoWarmUps, "baseline without warm-up copies"),
                                       std::pair(return_policy::NoAllowance, "baseline without an allowance")}) {
        const std::vector<bench_row> shown = baselineRows(policy, name);
        rows.insert(rows.end(), shown.begin(), shown.end());
    }
    return rows;
}
} // namespace Bench
