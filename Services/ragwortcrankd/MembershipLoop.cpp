#include "MembershipLoop.h"

#include "DaemonState.h"
#include "LibBackend/Ownership.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/ChooseEntries.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/ConfigurationPropagation.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/Membership.h"
#include "LibMembership/ParseVmList.h"
#include "LibObservability/Log.h"
#include "LibWire/PeerNetwork.h"
#include "ServiceShard.h"
#include "VmListReader.h"

#include <algorithm>
#include <utility>

using Observability::log_level;

static constexpr std::chrono::milliseconds tick {50};
/// A longer time between two iterations means that the process was suspended.
static constexpr std::chrono::seconds suspensionThreshold {1};
static constexpr std::chrono::milliseconds secondAnnouncementDelay {700};
static constexpr std::chrono::milliseconds ownershipMargin {200};

static Core::time_point clockNow()
{
    return std::chrono::steady_clock::now();
}

static Membership::member_record describeSelf(const daemon_state &daemon)
{
    const settings &own = daemon.daemonSettings;
    Membership::member_record record;
    record.name = own.virtualMachine;
    record.incarnation = daemon.incarnation;
    record.callerAddress = own.listenAddress + ":" + std::to_string(own.callerPort);
    record.peerAddress = own.listenAddress + ":" + std::to_string(own.peerPort);
    record.dataCentre = own.dataCentre;
    return record;
}

membership_loop::membership_loop(daemon_state &daemon, std::uint64_t seed)
    : m_daemon(daemon)
    , m_history(daemon)
    , m_table(Membership::makeTable(describeSelf(daemon), daemon.daemonSettings.peers, clockNow()))
    , m_random(seed)
{
}

membership_loop::~membership_loop()
{
    stop();
}

void membership_loop::start(Wire::peer_network &network)
{
    m_network = &network;
    m_listReader = std::make_unique<vm_list_reader>(
        m_daemon.daemonSettings.storeUrl, [this](const std::string &text) { applyList(text); },
        [this] {
            const std::scoped_lock lock(m_mutex);
            return Membership::listReadInterval(m_table);
        });
    m_thread = std::thread([this] { run(); });
}

void membership_loop::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_listReader) {
        m_listReader->stop();
    }
}

void membership_loop::leave()
{
    {
        const std::scoped_lock lock(m_mutex);
        Membership::leave(m_table);
    }
    announce();
}

void membership_loop::run()
{
    Core::time_point last = clockNow();
    m_nextRound = last;
    while (!m_stopping) {
        const Core::time_point now = clockNow();
        if (now - last > suspensionThreshold) {
            const std::scoped_lock lock(m_mutex);
            Membership::skipSuspendedTime(m_table, now - last);
            m_resumedAt = now;
        }
        last = now;
        announceNewConfiguration();
        if (now >= m_nextRound) {
            runGossipRound();
        }
        if (now >= m_nextAnnouncement) {
            m_nextAnnouncement = Core::time_point::max();
            announce();
        }
        fetchConfiguration();
        updateOwnership();
        confirmOwnership();
        std::this_thread::sleep_for(tick);
    }
}

void membership_loop::runGossipRound()
{
    std::vector<std::string> targets;
    Membership::gossip_message message;
    {
        const std::scoped_lock lock(m_mutex);
        const Core::time_point now = clockNow();
        Membership::removeDeadMembers(m_table, m_settings, now);
        message = Membership::startRound(m_table, m_settings, now);
        targets = Membership::chooseTargets(m_table, m_settings, now, m_random);
        m_nextRound = now + Membership::roundInterval(m_table, m_settings);
    }
    message.blobs = m_daemon.gossip.produce(m_settings.blobBudget);
    for (const std::string &target : targets) {
        send(target, message);
    }
}

void membership_loop::announce()
{
    std::vector<std::string> targets;
    Membership::gossip_message message;
    {
        const std::scoped_lock lock(m_mutex);
        message = Membership::makeAnnouncement(m_table);
        targets = Membership::chooseAnnouncementTargets(m_table, m_settings, clockNow(), m_random);
    }
    for (const std::string &target : targets) {
        send(target, message);
    }
}

void membership_loop::send(const std::string &address, Membership::gossip_message message)
{
    m_network->sendGossip(address, std::move(message), [this, address](const auto &outcome) {
        if (outcome) {
            onReply(address, outcome.value());
        }
    });
}

Membership::gossip_message membership_loop::onGossip(const Membership::gossip_message &message)
{
    m_daemon.gossip.merge(message.blobs);
    Membership::gossip_message reply;
    {
        const std::scoped_lock lock(m_mutex);
        reply = Membership::onGossip(m_table, message, m_settings, clockNow());
    }
    if (!message.blobs.empty()) {
        reply.blobs = m_daemon.gossip.produce(m_settings.blobBudget);
    }
    return reply;
}

void membership_loop::onReply(const std::string &address, const Membership::gossip_message &reply)
{
    m_daemon.gossip.merge(reply.blobs);
    std::optional<Membership::gossip_message> further;
    {
        const std::scoped_lock lock(m_mutex);
        further = Membership::onGossipReply(m_table, reply, m_settings, clockNow());
    }
    if (further && !m_stopping) {
        send(address, std::move(*further));
    }
}

Wire::configuration_reply membership_loop::onReadConfiguration(std::uint64_t aboveNumber)
{
    return m_history.replyFor(aboveNumber);
}

/// Announces a configuration that newly came into force here: to some peers immediately, to more after
/// `secondAnnouncementDelay`.
void membership_loop::announceNewConfiguration()
{
    const std::uint64_t number = m_daemon.configuration.current()->number;
    if (number <= m_announcedNumber) {
        return;
    }
    m_announcedNumber = number;
    m_history.keepCurrent();
    {
        const std::scoped_lock lock(m_mutex);
        Membership::setConfigurationNumber(m_table, {0, number});
    }
    announce();
    m_nextAnnouncement = clockNow() + secondAnnouncementDelay;
}

void membership_loop::fetchConfiguration()
{
    std::optional<std::string> source;
    std::uint64_t own = 0;
    {
        const std::scoped_lock lock(m_mutex);
        source = Membership::chooseConfigurationSource(m_table, m_settings, clockNow(), m_random);
        own = m_table.self.configurationNumber;
    }
    if (source && !m_fetching.exchange(true)) {
        fetchFrom(*source, own);
    }
}

void membership_loop::fetchFrom(const std::string &address, std::uint64_t aboveNumber)
{
    m_network->readConfiguration(address, aboveNumber, [this, address](const auto &reply) {
        if (reply && reply.value().number > 0 && !m_history.adopt(reply.value()) && !m_stopping) {
            fetchFrom(address, 0); // The patch could not be applied: request the complete document.
            return;
        }
        m_fetching = false;
    });
}

void membership_loop::updateOwnership()
{
    const auto document = m_daemon.configuration.current();
    Membership::fleet fleet;
    {
        const std::scoped_lock lock(m_mutex);
        fleet = Membership::makeFleet(m_table, m_settings, clockNow());
    }
    if (document->number == m_ownershipNumber && fleet == m_fleet) {
        return;
    }
    m_ownershipNumber = document->number;
    m_fleet = std::move(fleet);
    Core::duration maximumRequestDuration {};
    for (const auto &[name, service] : document->services) {
        Backend::ownership_view view = Membership::computeOwnership(m_fleet, *document, name);
        if (service_shard *shard = m_daemon.services.find(name)) {
            const std::scoped_lock lock(shard->mutex);
            Backend::applyOwnership(shard->state, std::move(view), clockNow());
            maximumRequestDuration = std::max(maximumRequestDuration, shard->state.maximumRequestDuration);
        }
    }
    if (document->number > 0 && m_slowStartAllowedAt.load() == Core::time_point::max()) {
        m_slowStartAllowedAt = clockNow() + Backend::ownershipLifetime + maximumRequestDuration + ownershipMargin;
    }
    Observability::logEvent(log_level::Info, "ownership_changed",
                            {{"members", m_fleet.members.size()}, {"number", m_ownershipNumber}});
}

/// Returns whether this daemon's membership view is recent: it received a message from a peer, or it is the only live
/// member and has reached the store.
bool membership_loop::hasRecentMembershipView(Core::time_point now)
{
    const std::scoped_lock lock(m_mutex);
    const Core::duration recentPeriod = 2 * Membership::gossipPeriod(m_table, m_settings);
    if (!m_table.members.empty() && now - m_table.lastPeerMessageAt <= recentPeriod) {
        return true;
    }
    const bool alone = Membership::liveMembers(m_table, m_settings, now).size() == 1;
    const Core::duration maximumListAge = Membership::listReadInterval(m_table) * 2;
    return alone && m_table.lastStoreResponseAt >= m_resumedAt && now - m_table.lastStoreResponseAt <= maximumListAge;
}

void membership_loop::confirmOwnership()
{
    const Core::time_point now = clockNow();
    if (!hasRecentMembershipView(now)) {
        return;
    }
    const auto document = m_daemon.configuration.current();
    for (const auto &[name, service] : document->services) {
        if (service_shard *shard = m_daemon.services.find(name)) {
            const std::scoped_lock lock(shard->mutex);
            Backend::confirmOwnership(shard->state, now);
        }
    }
}

void membership_loop::applyList(const std::string &text)
{
    const auto list = Membership::parseVmList(text);
    if (!list) {
        Observability::logEvent(log_level::Warning, "vm_list_invalid", {{"message", list.error().message}});
        return;
    }
    const std::scoped_lock lock(m_mutex);
    Membership::applyList(m_table, list.value(), clockNow());
}

std::string membership_loop::peerAddress(const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_table.members.find(name);
    return found == m_table.members.end() ? std::string() : found->second.record.peerAddress;
}

std::vector<Membership::entry> membership_loop::entries(const std::string &dataCentre)
{
    const auto document = m_daemon.configuration.current();
    const std::scoped_lock lock(m_mutex);
    return Membership::chooseEntries(m_table, m_settings, *document, dataCentre, clockNow(), m_random);
}

std::map<std::string, std::uint64_t> membership_loop::numbersInForce()
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::uint64_t> numbers;
    for (const Membership::member_record *member : Membership::liveMembers(m_table, m_settings, clockNow())) {
        numbers[member->name] = member->configurationNumber;
    }
    return numbers;
}

std::size_t membership_loop::watchRank()
{
    const auto document = m_daemon.configuration.current();
    const std::scoped_lock lock(m_mutex);
    return Membership::watchRank(m_table, m_settings, *document, clockNow());
}

bool membership_loop::isIsolated()
{
    const std::scoped_lock lock(m_mutex);
    return Membership::isIsolated(m_table, m_settings, clockNow());
}

bool membership_loop::mayRunSlowStart() const
{
    return clockNow() >= m_slowStartAllowedAt.load();
}

Core::duration membership_loop::propagationTime()
{
    constexpr int periodsToSpread = 8;
    const std::scoped_lock lock(m_mutex);
    return periodsToSpread * Membership::gossipPeriod(m_table, m_settings);
}

bool membership_loop::isLeaving()
{
    const std::scoped_lock lock(m_mutex);
    return m_table.self.leaving;
}
