#include "Policy/ReplicaGossip.h"

#include "LibBackend/Ownership.h"
#include "LibBackend/SlowStart.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/RendezvousWeight.h"
#include "Policy/QueryDriver.h"

#include <algorithm>
#include <utility>

namespace Bench
{
static constexpr std::size_t dataCentres = 3;
static constexpr std::chrono::milliseconds roundLength {500};
static constexpr std::chrono::milliseconds messageDelay {5};
/// Changes are sent in each round for this long, so that a lost message or two does no harm.
static constexpr std::chrono::seconds recent {3};

static std::string nameOf(std::size_t daemon)
{
    return "daemon" + std::to_string(daemon);
}

replica_gossip::replica_gossip(query_driver &driver, Configuration::configuration_document document,
                               std::size_t daemons, std::uint64_t seed)
    : m_driver(driver)
    , m_document(std::move(document))
    , m_daemons(daemons)
    , m_random(seed)
{
    applyViews();
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        const Core::duration first = roundLength * daemon / daemons;
        m_driver.events.after(first, [this, daemon] { exchange(daemon); });
    }
}

void replica_gossip::applyViews()
{
    for (std::size_t daemon = 0; daemon < m_daemons; ++daemon) {
        applyView(daemon, {});
    }
}

void replica_gossip::applyView(std::size_t daemon, const std::vector<std::size_t> &missing)
{
    Membership::fleet fleet;
    fleet.self = nameOf(daemon);
    for (std::size_t member = 0; member < m_daemons; ++member) {
        if (std::find(missing.begin(), missing.end(), member) == missing.end()) {
            const std::string name = nameOf(member);
            fleet.members.push_back({name, Membership::hashName(name), "dc" + std::to_string(member % dataCentres)});
        }
    }
    Backend::ownership_view view = Membership::computeOwnership(fleet, m_document, "search");
    Backend::applyOwnership(m_driver.service(daemon), std::move(view), m_driver.events.now());
}

void replica_gossip::disagreeUntil(Core::time_point end)
{
    if (m_driver.events.now() >= end) {
        applyViews();
        return;
    }
    std::vector<std::size_t> missing;
    for (std::size_t member = 0; member < m_daemons; ++member) {
        if (m_random() % 3 == 0) {
            missing.push_back(member);
        }
    }
    const std::size_t daemon = m_random() % m_daemons;
    std::erase(missing, daemon); // Every daemon is a member in its own list.
    applyView(daemon, missing);
    m_driver.events.after(std::chrono::milliseconds(m_random() % 500), [this, end] { disagreeUntil(end); });
}

void replica_gossip::exchange(std::size_t daemon)
{
    const Core::time_point now = m_driver.events.now();
    Backend::service_state &own = m_driver.service(daemon);
    const auto records = Backend::exportSlowStart(own, now - recent);
    const auto claims = Backend::claimedReplicas(own);
    m_driver.events.after(messageDelay, [this, daemon, records, claims] {
        const Core::time_point arrival = m_driver.events.now();
        for (std::size_t peer = 0; peer < m_daemons; ++peer) {
            if (peer == daemon) {
                continue;
            }
            Backend::service_state &service = m_driver.service(peer);
            Backend::importSlowStart(service, records, arrival);
            for (const std::string &claim : claims) {
                Backend::recordClaim(service, claim, arrival);
            }
        }
    });
    Backend::confirmOwnership(own, now);
    m_driver.events.after(roundLength, [this, daemon] { exchange(daemon); });
}
} // namespace Bench
