#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibFront/AddressBinder.h"
#include "LibFront/TimerQueue.h"
#include "LibMembership/KeyedBlob.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/MembershipSettings.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace Configuration
{
struct configuration_document;
}

namespace Front
{
class decision_log;
}

namespace Membership
{
struct gossip_message;
}

namespace Exchange
{
enum class datagram_kind : char;

/// Runs the gossip rounds and maintains the member table.
class peer_exchange
{
public:
    using change_function = std::function<void()>;
    using round_function = std::function<void(Core::time_point)>;

    /// `onChange` is called when a member has joined, left, died or started to leave; `onRound` after each round.
    peer_exchange(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log,
                  Membership::member_table table, change_function onChange, round_function onRound);

    /// Sets the functions that produce the blobs sent with each gossip message and that merge the received ones.
    using produce_function = std::function<std::vector<Membership::keyed_blob>(std::size_t budget)>;
    using merge_function = std::function<void(const Membership::keyed_blob &)>;
    void setBlobHandlers(produce_function produce, merge_function merge);

    /// Sets how many members of each data centre are active at least. `topology` must outlive this object.
    void setActiveSet(std::size_t minimumActiveMembers, const Configuration::configuration_document &topology);

    /// Binds the socket, as soon as the port is free, and runs the first round. `onBound` is called once, with the
    /// error if the socket cannot be bound within `patience`.
    void start(Core::duration patience, Front::address_binder::end_function onBound);
    [[nodiscard]] bool isBound() const;
    /// Announces to all live members that this daemon leaves.
    void leave();
    /// Sends a blob to all live members at once.
    void broadcast(const Membership::keyed_blob &blob);
    void setConfigurationNumber(Membership::configuration_number number);
    /// Makes this daemon send heartbeat messages while it is active.
    void setActive(bool active);
    /// Publishes whether requests wait for this daemon's processor, with the next messages.
    void setOverloaded(bool overloaded);
    /// Announces this daemon's configuration number to some members immediately, so that those that lag notice before
    /// the next rounds.
    void announce(Core::time_point now);

    [[nodiscard]] Membership::member_table &table();
    [[nodiscard]] const Membership::member_table &table() const;
    [[nodiscard]] const Membership::membership_settings &settings() const;

private:
    [[nodiscard]] boost::system::error_code openSocket();
    void runRound(Core::time_point now);
    void sendHeartbeats(Core::time_point now);
    void receive();
    void onDatagram(std::string_view bytes, const std::string &sender);
    void addBlobs(Membership::gossip_message &message);
    void sendTo(const std::string &address, datagram_kind kind, const Membership::gossip_message &message);
    void sendToAll(datagram_kind kind, const Membership::gossip_message &message);
    void sendBytes(const std::string &address, const std::string &bytes);
    [[nodiscard]] bool isServing(const Membership::member_state &member, Core::time_point now) const;
    void detectSuspension(Core::time_point now);
    void detectFleetChange(Core::time_point now);

    Front::timer_queue &m_timers;
    Front::decision_log &m_log;
    Membership::member_table m_table;
    Membership::membership_settings m_settings;
    const Configuration::configuration_document *m_topology = nullptr; ///< Set with the size of the active set.
    change_function m_onChange;
    round_function m_onRound;
    produce_function m_produceBlobs;
    merge_function m_mergeBlob;
    boost::asio::ip::udp::socket m_socket;
    Front::address_binder m_binder;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer {}; ///< Large enough for any datagram.
    Core::random_engine m_random;
    std::string m_liveFleet; ///< Names of the members that serve callers, as of the latest change.
    std::size_t m_liveFingerprint = 0; ///< Of the members that serve callers, to detect changes.
    bool m_isBound = false;
    bool m_isActive = false;
    bool m_isHeartbeatScheduled = false;
    Core::time_point m_announcedAt;
    Core::duration m_suspendedTotal {}; ///< Total time that the VM was suspended, as of the latest round.
};
} // namespace Exchange
