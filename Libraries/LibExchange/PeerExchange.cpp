#include "LibExchange/PeerExchange.h"

#include "LibExchange/DatagramCodec.h"

#include "LibFront/DecisionLog.h"
#include "LibFront/Endpoint.h"
#include "LibMembership/ActiveSet.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/MemberStatus.h"
#include "LibMembership/Membership.h"

#include <boost/container_hash/hash.hpp>

#include <ctime>
#include <random>
#include <utility>

namespace Exchange
{
using udp = boost::asio::ip::udp;
using namespace std::chrono_literals;

/// Traffic between data centres is billed, and updates still reach the others within a few rounds.
static constexpr int roundsPerRemoteMessage = 4;
/// Changes come in bursts; later ones spread with the rounds.
static constexpr Core::duration minimumAnnounceInterval = 200ms;
static constexpr Core::duration minimumSuspension = 200ms; ///< Failure detection tolerates shorter gaps.

/// Returns how long the VM was suspended since it booted: CLOCK_MONOTONIC stops during a suspension, CLOCK_BOOTTIME
/// doesn't.
static Core::duration suspendedTotal()
{
    timespec boot {};
    timespec steady {};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    return std::chrono::seconds(boot.tv_sec - steady.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec - steady.tv_nsec);
}

peer_exchange::peer_exchange(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log,
                             Membership::member_table table, change_function onChange, round_function onRound)
    : m_timers(timers)
    , m_log(log)
    , m_table(std::move(table))
    , m_onChange(std::move(onChange))
    , m_onRound(std::move(onRound))
    , m_socket(loop)
    , m_binder(timers)
    , m_random(m_table.self.incarnation)
{
    m_settings.roundsPerRemoteMessage = roundsPerRemoteMessage;
}

void peer_exchange::start(Core::duration patience, Front::address_binder::end_function onBound)
{
    m_binder.start(
        patience, [this]() { return openSocket(); },
        [this, onBound = std::move(onBound)](const boost::system::error_code &error) {
            m_isBound = !error;
            if (m_isBound) {
                m_suspendedTotal = suspendedTotal();
                receive();
                runRound(std::chrono::steady_clock::now());
            }
            onBound(error);
        });
}

boost::system::error_code peer_exchange::openSocket()
{
    const std::optional<Front::endpoint> local = Front::parseEndpoint(m_table.self.peerAddress);
    if (!local) {
        return boost::asio::error::invalid_argument;
    }
    boost::system::error_code ignored; // A socket that is not open yet cannot be closed.
    m_socket.close(ignored);
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error) {
        m_socket.bind({local->address, local->port}, error);
    }
    return error;
}

bool peer_exchange::isBound() const
{
    return m_isBound;
}

void peer_exchange::setActiveSet(std::size_t minimumActiveMembers,
                                 const Configuration::configuration_document &topology)
{
    m_settings.minimumActiveMembers = minimumActiveMembers;
    m_topology = &topology;
}

void peer_exchange::setOverloaded(bool overloaded)
{
    if (Membership::setOverloaded(m_table, overloaded)) {
        m_log.writeAlways("overload", {{"overloaded", overloaded}});
    }
}

void peer_exchange::setActive(bool active)
{
    m_isActive = active;
    if (active && !m_isHeartbeatScheduled) {
        sendHeartbeats(std::chrono::steady_clock::now());
    }
}

void peer_exchange::sendHeartbeats(Core::time_point now)
{
    m_isHeartbeatScheduled = m_isActive && !m_table.self.leaving;
    if (!m_isHeartbeatScheduled) {
        return;
    }
    const Membership::active_sets active = Membership::activeMembers(m_table, m_settings, *m_topology, now);
    const std::string bytes =
        encodeDatagram(datagram_kind::Reply, Membership::makeHeartbeat(m_table, m_settings, active, now));
    for (const std::string &target : Membership::chooseHeartbeatTargets(m_table, m_settings, active, now, m_random)) {
        sendBytes(target, bytes);
    }
    m_timers.schedule(now + m_settings.heartbeatInterval, [this](Core::time_point due) { sendHeartbeats(due); });
}

Membership::member_table &peer_exchange::table()
{
    return m_table;
}

const Membership::member_table &peer_exchange::table() const
{
    return m_table;
}

const Membership::membership_settings &peer_exchange::settings() const
{
    return m_settings;
}

void peer_exchange::leave()
{
    Membership::leave(m_table);
    sendToAll(datagram_kind::Round, Membership::makeAnnouncement(m_table));
}

void peer_exchange::broadcast(const Membership::keyed_blob &blob)
{
    Membership::gossip_message announcement = Membership::makeAnnouncement(m_table);
    announcement.blobs.push_back(blob);
    // Sent as a reply, since the receivers would answer a round.
    sendToAll(datagram_kind::Reply, announcement);
}

void peer_exchange::sendToAll(datagram_kind kind, const Membership::gossip_message &message)
{
    for (const Membership::member_record *member :
         Membership::liveMembers(m_table, m_settings, std::chrono::steady_clock::now())) {
        if (member != &m_table.self) {
            sendTo(member->peerAddress, kind, message);
        }
    }
}

void peer_exchange::setConfigurationNumber(Membership::configuration_number number)
{
    Membership::setConfigurationNumber(m_table, number);
}

void peer_exchange::announce(Core::time_point now)
{
    if (now - m_announcedAt < minimumAnnounceInterval) {
        return;
    }
    m_announcedAt = now;
    const Membership::gossip_message announcement = Membership::makeAnnouncement(m_table);
    for (const std::string &target : Membership::chooseAnnouncementTargets(m_table, m_settings, now, m_random)) {
        // Sent as a reply, since the receiver would answer a round.
        sendTo(target, datagram_kind::Reply, announcement);
    }
}

void peer_exchange::detectSuspension(Core::time_point now)
{
    const Core::duration total = suspendedTotal();
    const Core::duration gap = total - m_suspendedTotal;
    m_suspendedTotal = total;
    if (gap > minimumSuspension) {
        m_log.writeAlways("suspended",
                          {{"for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(gap).count()}});
        // This daemon could not receive heartbeats while suspended, so their absence does not count against the
        // members.
        for (auto &[name, member] : m_table.members) {
            member.heartbeatAdvancedAt = now;
        }
    }
}

bool peer_exchange::isServing(const Membership::member_state &member, Core::time_point now) const
{
    return Membership::statusOf(m_table, member, m_settings, now) == Membership::member_status::Live
        && !member.record.leaving && !Membership::isSilent(member, m_settings, now);
}

void peer_exchange::detectFleetChange(Core::time_point now)
{
    // The names are joined only after a change, since this runs for every datagram.
    std::size_t fingerprint = 0;
    for (const auto &[name, member] : m_table.members) {
        if (isServing(member, now)) {
            boost::hash_combine(fingerprint, &member);
            boost::hash_combine(fingerprint, member.record.incarnation);
        }
    }
    if (fingerprint == m_liveFingerprint) {
        return;
    }
    m_liveFingerprint = fingerprint;
    std::string fleet;
    for (const auto &[name, member] : m_table.members) {
        if (isServing(member, now)) {
            fleet += name + " ";
        }
    }
    m_log.write("fleet", {{"live", fleet}, {"before", m_liveFleet}});
    m_liveFleet = std::move(fleet);
    m_onChange();
}

void peer_exchange::runRound(Core::time_point now)
{
    detectSuspension(now);
    Membership::gossip_message message = Membership::startRound(m_table, m_settings, now);
    addBlobs(message);
    // Blobs are meant for the entire fleet, so every round may reach other data centres.
    m_settings.roundsPerRemoteMessage = message.blobs.empty() ? roundsPerRemoteMessage : 1;
    for (const std::string &target : Membership::chooseTargets(m_table, m_settings, now, m_random)) {
        sendTo(target, datagram_kind::Round, message);
    }
    detectFleetChange(now);
    m_onRound(now);
    m_timers.schedule(now + Membership::roundInterval(m_table, m_settings),
                      [this](Core::time_point due) { runRound(due); });
}

void peer_exchange::setBlobHandlers(produce_function produce, merge_function merge)
{
    m_produceBlobs = std::move(produce);
    m_mergeBlob = std::move(merge);
}

void peer_exchange::addBlobs(Membership::gossip_message &message)
{
    if (m_produceBlobs) {
        message.blobs = m_produceBlobs(m_settings.blobBudget);
    }
}

void peer_exchange::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            // Other errors report that an earlier datagram could not be delivered.
            if (error) {
                receive();
                return;
            }
            const std::string bytes(m_buffer.data(), size);
            const std::string sender = m_sender.address().to_string() + ":" + std::to_string(m_sender.port());
            receive();
            onDatagram(bytes, sender);
        });
}

void peer_exchange::onDatagram(std::string_view bytes, const std::string &sender)
{
    const std::optional<datagram> received = decodeDatagram(bytes);
    if (!received) {
        m_log.write("datagram_unreadable", {{"from", sender}, {"bytes", bytes.size()}});
        return;
    }
    const Core::time_point now = std::chrono::steady_clock::now();
    for (const Membership::keyed_blob &blob : received->message.blobs) {
        if (m_mergeBlob) {
            m_mergeBlob(blob);
        }
    }
    if (received->kind == datagram_kind::Round) {
        Membership::gossip_message reply = Membership::onGossip(m_table, received->message, m_settings, now);
        addBlobs(reply);
        sendTo(sender, datagram_kind::Reply, reply);
    } else if (const auto further = Membership::onGossipReply(m_table, received->message, m_settings, now)) {
        sendTo(sender, datagram_kind::Round, *further);
    }
    // Heartbeats arrive far more often than members change; the next round shows their changes.
    if (!received->message.isHeartbeat) {
        detectFleetChange(now);
    }
}

void peer_exchange::sendTo(const std::string &address, datagram_kind kind, const Membership::gossip_message &message)
{
    sendBytes(address, encodeDatagram(kind, message));
}

void peer_exchange::sendBytes(const std::string &address, const std::string &bytes)
{
    const std::optional<Front::endpoint> target = Front::parseEndpoint(address);
    if (!target) {
        m_log.write("peer_address_unreadable", {{"address", address}});
        return;
    }
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(bytes), {target->address, target->port}, 0, error);
    if (error) {
        m_log.write("peer_send_failed", {{"address", address}, {"error", error.message()}});
    }
}
} // namespace Exchange
