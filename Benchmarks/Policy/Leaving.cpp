#include "LibBackend/Health.h"
#include "LibBackend/ReplicaReport.h"
#include "Policy/MakeDocument.h"
#include "Policy/QueryDriver.h"
#include "Policy/ReplicaGossip.h"
#include "Policy/Scenarios.h"

#include <algorithm>
#include <optional>

namespace Bench
{
namespace
{
constexpr std::chrono::seconds graceTime {3};

/// Requests that three leaving replicas got from any daemon later than the grace time.
std::uint64_t newWorkAfterGrace(bool configured, std::uint64_t seed)
{
    driver_settings settings;
    settings.seed = seed;
    Configuration::configuration_document document = makeDocument(25, 3, 2);
    query_driver driver(document, settings, {});
    const Core::time_point start = driver.events.now();
    const Core::time_point leaving = start + std::chrono::seconds(5);
    const Core::time_point end = start + std::chrono::seconds(20);
    const std::vector<std::string> names {"s0-r0", "s7-r1", "s24-r2"};
    driver.offer(480, end);
    driver.events.at(leaving, [&] {
        ++document.number;
        for (const std::string &name : names) {
            if (configured) {
                document.services.at("search").replicas.at(name).leaving = true;
            } else {
                driver.replica(name).settings.leaving = true;
            }
        }
        driver.apply(document);
    });
    std::uint64_t received = 0;
    driver.events.at(leaving + graceTime, [&] {
        for (const std::string &name : names) {
            driver.replica(name).received = 0;
        }
    });
    driver.events.runUntil(end + std::chrono::seconds(2));
    for (const std::string &name : names) {
        received += driver.replica(name).received;
    }
    return received;
}

enum class health_policy {
    Asked, ///< What the daemon does.
    NeverAsked, ///< Baseline: only answers to work tell of a return.
};

/// A replica says that it is leaving and ends; its successor starts under the same settings, cold.
class return_run
{
public:
    return_run(health_policy policy, std::uint64_t seed)
        : m_driver(makeDocument(25, 3, 2), settingsFor(seed), {})
        , m_gossip(m_driver, makeDocument(25, 3, 2), daemons, seed)
        , m_replica(m_driver.replica(replicaName))
    {
        const Core::time_point start = m_driver.events.now();
        // Each seed meets another phase of the health requests.
        m_return = start + std::chrono::seconds(20 + seed);
        m_end = m_return + std::chrono::seconds(60);
        m_driver.offer(480, m_end);
        m_driver.events.at(start + std::chrono::seconds(5), [this] { m_replica.settings.leaving = true; });
        m_driver.events.at(m_return, [this] {
            m_replica.settings.leaving = false;
            m_replica.turnCold(true);
            m_replica.started = 0;
        });
        if (policy == health_policy::Asked) {
            m_driver.events.at(start, [this] { askForHealth(); });
        }
        watch();
        m_driver.events.runUntil(m_end);
    }

    /// From its start until the successor ran its first request; the whole watched time if it never did.
    [[nodiscard]] double secondsUntilWork() const
    {
        return Core::toSeconds(m_firstWork.value_or(m_end) - m_return);
    }

private:
    static constexpr std::size_t daemons = 9;
    static constexpr const char *replicaName = "s7-r1";

    static driver_settings settingsFor(std::uint64_t seed)
    {
        driver_settings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        return settings;
    }

    void watch()
    {
        const Core::time_point now = m_driver.events.now();
        if (now > m_return && m_replica.started > 0) {
            m_firstWork = now;
            return;
        }
        m_driver.events.after(std::chrono::milliseconds(10), [this] { watch(); });
    }

    void askForHealth()
    {
        const Core::time_point now = m_driver.events.now();
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            Backend::service_state &service = m_driver.service(daemon);
            for (const Backend::health_request &request : Backend::takeHealthRequests(service, now)) {
                const fake_replica_settings &asked = m_driver.replica(request.replica).settings;
                const Backend::replica_report report {std::to_string(asked.incarnation), 0.0,
                                                      asked.cold && asked.reportsCold, asked.leaving};
                Backend::recordHealth(service, request, report, now);
            }
        }
        m_driver.events.after(std::chrono::seconds(1), [this] { askForHealth(); });
    }

    query_driver m_driver;
    replica_gossip m_gossip;
    fake_replica &m_replica;
    Core::time_point m_return;
    Core::time_point m_end;
    std::optional<Core::time_point> m_firstWork;
};

bench_row returnRow()
{
    const std::vector<std::uint64_t> seeds {1, 2, 3, 4, 5};
    double longest = 0.0;
    for (const std::uint64_t seed : seeds) {
        longest = std::max(longest, return_run(health_policy::Asked, seed).secondsUntilWork());
    }
    const double never = return_run(health_policy::NeverAsked, 1).secondsUntilWork();
    constexpr double mostSeconds = 30.0;
    return atMost("s until the successor has work", "left by own report, back; baseline never asked", longest,
                  mostSeconds, seeds, never);
}

bench_row rowFor(const std::string &scenario, bool configured)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3, 4, 5};
    std::uint64_t most = 0;
    for (const std::uint64_t seed : seeds) {
        most = std::max(most, newWorkAfterGrace(configured, seed));
    }
    return atMost("requests later than 3 s", scenario, static_cast<double>(most), 0.0, seeds);
}
} // namespace

std::vector<bench_row> runLeaving()
{
    return {rowFor("leaving by configuration", true), rowFor("leaving by own report", false), returnRow()};
}
} // namespace Bench
