#include "LibBackend/ReplicaEvents.h"
#include "Policy/MakeDocument.h"
#include "Policy/Quantile.h"
#include "Policy/QueryDriver.h"
#include "Policy/ReplicaGossip.h"
#include "Policy/Scenarios.h"

#include <algorithm>

namespace Bench
{
namespace
{
constexpr std::size_t daemons = 9;
constexpr std::chrono::seconds graceTime {3};
constexpr double queriesPerSecond = 480; ///< 40% of 75 replicas with 2 slots of 5 ms, 25 shards a query.

/// One run: 20 s steady, 10 min out, 60 s back. Within the ten minutes load is offered in the first and last 20 s.
class outage_run
{
public:
    explicit outage_run(std::uint64_t seed)
        : m_document(makeDocument(25, 3, 2))
        , m_driver(m_document, settingsFor(seed), {})
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
    [[nodiscard]] std::size_t stillCold() const
    {
        std::size_t cold = 0;
        for (const auto &[name, replica] : m_driver.replicas()) {
            cold += replica->settings.cold ? 1 : 0;
        }
        return cold;
    }
    void readReplicas()
    {
        for (const auto &[name, replica] : m_driver.replicas()) {
            mostWhileCold = std::max(mostWhileCold, replica->mostWhileCold);
        }
    }

private:
    static driver_settings settingsFor(std::uint64_t seed)
    {
        driver_settings settings;
        settings.daemons = daemons;
        settings.seed = seed;
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
                replica->turnCold(true);
            }
        }
        patch(false);
    }

    Configuration::configuration_document m_document;
    query_driver m_driver;
    replica_gossip m_gossip;
    const Core::time_point m_start;
    const Core::time_point m_out;
    const Core::time_point m_back;
    const Core::time_point m_end;
};
} // namespace

std::vector<bench_row> runDataCentreOut()
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    double newWork = 0.0;
    double wholePart = 1.0;
    double ratioOut = 0.0;
    double ratioBack = 0.0;
    double mostWhileCold = 0.0;
    double stillCold = 0.0;
    for (const std::uint64_t seed : seeds) {
        outage_run run(seed);
        run.readReplicas();
        newWork = std::max(newWork, static_cast<double>(run.newWork));
        wholePart = std::min(wholePart, run.wholePart());
        ratioOut = std::max(ratioOut, run.ratioOut());
        ratioBack = std::max(ratioBack, run.ratioBack());
        mostWhileCold = std::max(mostWhileCold, static_cast<double>(run.mostWhileCold));
        stillCold = std::max(stillCold, static_cast<double>(run.stillCold()));
    }
    const std::string scenario = "data centre out 10 min and back, 40% load";
    constexpr double mostRatio = 1.5;
    bench_row warming;
    warming.measure = "replicas of 25 still cold 60 s after the return";
    warming.scenario = scenario;
    warming.value = stillCold;
    warming.seeds = seeds;
    return {atMost("requests later than 3 s after the patch", scenario, newWork, 0.0, seeds),
            atLeast("part of queries with coverage 1", scenario, wholePart, 0.999, seeds),
            atMost("p99 while out / steady", scenario, ratioOut, mostRatio, seeds),
            atMost("p99 after the return / steady", scenario, ratioBack, mostRatio, seeds),
            atMost("most held while cold", scenario, mostWhileCold, 1.0, seeds),
            warming};
}
} // namespace Bench
