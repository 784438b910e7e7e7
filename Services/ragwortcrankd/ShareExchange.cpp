#include "ShareExchange.h"

#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibObservability/Log.h"
#include "LibTeams/UsageCodec.h"
#include "LibWire/PeerNetwork.h"
#include "MembershipLoop.h"
#include "PatchWriter.h"

#include <algorithm>
#include <iterator>
#include <utility>

using Observability::log_level;

static constexpr std::chrono::milliseconds tick {25};
static constexpr std::chrono::milliseconds updateInterval {125};
static constexpr std::chrono::seconds closeInterval {1};
/// Maximum bytes of evidence per rollout in one message.
static constexpr std::size_t evidenceBudget = 300;
static constexpr const char *usageKey = "usage";

static Core::time_point clockNow()
{
    return std::chrono::steady_clock::now();
}

static Core::wall_time wallNow()
{
    return std::chrono::system_clock::now();
}

share_exchange::share_exchange(daemon_state &daemon, std::uint64_t seed)
    : m_daemon(daemon)
    , m_random(seed)
{
}

share_exchange::~share_exchange()
{
    stop();
}

void share_exchange::start(patch_writer &writer)
{
    m_writer = &writer;
    m_thread = std::thread([this] { run(); });
}

void share_exchange::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void share_exchange::run()
{
    Core::time_point lastUpdate = clockNow();
    Core::time_point nextExchange = lastUpdate;
    Core::time_point nextClose = lastUpdate;
    while (!m_stopping) {
        const Core::time_point now = clockNow();
        if (now - lastUpdate >= updateInterval) {
            update(now - lastUpdate);
            lastUpdate = now;
        }
        if (now >= nextExchange) {
            exchangeWithPeer();
            nextExchange = now + Teams::usageInterval(m_messageBytes);
        }
        if (now >= nextClose) {
            closeRollouts();
            nextClose = now + closeInterval;
        }
        std::this_thread::sleep_for(tick);
    }
}

void share_exchange::update(Core::duration sinceLast)
{
    const auto document = m_daemon.configuration.current();
    const auto rates = m_daemon.admission.updateRates(*document, clockNow());
    const auto live = static_cast<std::uint32_t>(m_daemon.membership->numbersInForce().size());
    std::map<std::uint32_t, Teams::team_rates> totals;
    {
        const std::scoped_lock lock(m_mutex);
        Teams::updateUsage(m_usage, rates, wallNow());
        totals = Teams::totalUsage(m_usage, live, wallNow());
    }
    // After a suspension of the process, the overdraft must not grow by the whole time of the suspension.
    m_daemon.admission.updateFactors(*document, totals, std::min<Core::duration>(sinceLast, 2 * updateInterval));
    const settings &own = m_daemon.daemonSettings;
    for (const std::string &service :
         m_daemon.rollouts.update(*document, m_daemon.incarnation, own.dataCentre, wallNow())) {
        Observability::logEvent(log_level::Warning, "rollout_bad", {{"service", service}});
    }
}

/// Only the member with watch rank 0 records the end of rollouts. If two members both have that rank in their view,
/// they write the same patch id.
void share_exchange::closeRollouts()
{
    if (m_daemon.membership->watchRank() != 0) {
        return;
    }
    const auto document = m_daemon.configuration.current();
    for (const Rollout::closing_patch &patch : m_daemon.rollouts.closingPatches(*document, wallNow())) {
        m_writer->submit({document->number, patch.patchId, patch.patch},
                         [id = patch.patchId](const Configuration::patch_answer &answer) {
                             Observability::logEvent(log_level::Info, "rollout_closing",
                                                     {{"patch_id", id},
                                                      {"result", static_cast<int>(answer.result)},
                                                      {"number", answer.number}});
                         });
    }
}

std::string share_exchange::choosePeer()
{
    const auto live = m_daemon.membership->numbersInForce();
    if (live.size() < 2) {
        return {};
    }
    std::size_t index = 0;
    {
        const std::scoped_lock lock(m_mutex);
        index = m_random() % live.size();
    }
    const std::string &name = std::next(live.begin(), static_cast<std::ptrdiff_t>(index))->first;
    return name == m_daemon.daemonSettings.virtualMachine ? std::string() : m_daemon.membership->peerAddress(name);
}

Membership::gossip_message share_exchange::makeMessage()
{
    Membership::gossip_message message;
    message.sender = m_daemon.daemonSettings.virtualMachine;
    {
        const std::scoped_lock lock(m_mutex);
        message.blobs.push_back({usageKey, Teams::encodeUsage(Teams::splitUsage(m_usage))});
    }
    for (Membership::keyed_blob &blob : m_daemon.rollouts.produce(evidenceBudget)) {
        message.blobs.push_back(std::move(blob));
    }
    std::size_t bytes = 0;
    for (const Membership::keyed_blob &blob : message.blobs) {
        bytes += blob.key.size() + blob.value.size();
    }
    m_messageBytes = bytes;
    return message;
}

void share_exchange::merge(const Membership::gossip_message &message)
{
    for (const Membership::keyed_blob &blob : message.blobs) {
        if (blob.key != usageKey) {
            m_daemon.rollouts.merge(blob);
        } else if (const auto usage = Teams::decodeUsage(blob.value)) {
            const std::scoped_lock lock(m_mutex);
            Teams::mergeUsage(m_usage, *usage, wallNow());
        }
    }
}

void share_exchange::exchangeWithPeer()
{
    const std::string address = choosePeer();
    if (address.empty()) {
        return;
    }
    m_daemon.peers->sendGossip(address, makeMessage(), [this](const auto &reply) {
        if (reply) {
            merge(reply.value());
        }
    });
}

bool share_exchange::isShareMessage(const Membership::gossip_message &message)
{
    return !message.blobs.empty() && message.blobs.front().key == usageKey;
}

Membership::gossip_message share_exchange::onMessage(const Membership::gossip_message &message)
{
    // The reply is created before the merge, so that it does not send back what was just received.
    Membership::gossip_message reply = makeMessage();
    merge(message);
    return reply;
}
