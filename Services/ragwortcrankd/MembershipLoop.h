#pragma once

#include "ConfigurationHistory.h"
#include "LibCore/RandomEngine.h"
#include "LibMembership/Entry.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/GossipMessage.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/MembershipSettings.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Wire
{
class peer_network;
struct configuration_reply;
} // namespace Wire

struct daemon_state;
class vm_list_reader;

/// Runs this daemon's membership: gossips with peers, propagates configurations, and applies each ownership change to
/// the services. Public functions are thread-safe.
class membership_loop
{
public:
    membership_loop(daemon_state &daemon, std::uint64_t seed);
    ~membership_loop();
    membership_loop(const membership_loop &) = delete;
    membership_loop &operator=(const membership_loop &) = delete;

    /// Starts the threads. `network` must outlive stop().
    void start(Wire::peer_network &network);
    void stop();

    /// Announces to the fleet that this daemon is leaving.
    void leave();
    /// Handles a gossip message of a peer and returns the reply. Runs on the network thread.
    Membership::gossip_message onGossip(const Membership::gossip_message &message);
    Wire::configuration_reply onReadConfiguration(std::uint64_t aboveNumber);

    /// Returns the address at which a peer serves other daemons; empty if unknown.
    std::string peerAddress(const std::string &name);
    std::vector<Membership::entry> entries(const std::string &dataCentre);
    std::map<std::string, std::uint64_t> numbersInForce();
    std::size_t watchRank();
    bool isIsolated();
    bool isLeaving();
    /// Returns the time that an update about this daemon needs to reach every daemon that answers /v1/entries.
    Core::duration propagationTime();
    /// Returns whether the first ownership is old enough for this daemon to run the slow start of replicas. The daemon
    /// is not ready before that, even if the whole fleet has just started.
    bool mayRunSlowStart() const;

private:
    void run();
    void runGossipRound();
    void announce();
    void send(const std::string &address, Membership::gossip_message message);
    void onReply(const std::string &address, const Membership::gossip_message &reply);
    void announceNewConfiguration();
    void fetchConfiguration();
    void fetchFrom(const std::string &address, std::uint64_t aboveNumber);
    void updateOwnership();
    void confirmOwnership();
    bool hasRecentMembershipView(Core::time_point now);
    void applyList(const std::string &text);

    daemon_state &m_daemon;
    const Membership::membership_settings m_settings;
    configuration_history m_history;
    Wire::peer_network *m_network = nullptr;
    std::unique_ptr<vm_list_reader> m_listReader;
    std::mutex m_mutex;
    Membership::member_table m_table; ///< Guarded by m_mutex.
    Core::random_engine m_random; ///< Guarded by m_mutex.
    std::atomic<bool> m_fetching {false};
    std::atomic<bool> m_stopping {false};
    std::atomic<Core::time_point> m_slowStartAllowedAt {Core::time_point::max()};
    // Used only on the loop's thread.
    Core::time_point m_nextRound;
    Core::time_point m_nextAnnouncement = Core::time_point::max();
    Core::time_point m_resumedAt; ///< When the process last resumed after a suspension.
    std::uint64_t m_announcedNumber = 0;
    Membership::fleet m_fleet;
    std::uint64_t m_ownershipNumber = 0; ///< The configuration number for which ownership was last computed.
    std::thread m_thread;
};
