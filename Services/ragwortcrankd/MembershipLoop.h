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

/// This daemon's part in the fleet: gossips, hands configurations on, and hands each new ownership to the services.
/// Public functions may be called from any thread.
class membership_loop
{
public:
    membership_loop(daemon_state &daemon, std::uint64_t seed);
    ~membership_loop();
    membership_loop(const membership_loop &) = delete;
    membership_loop &operator=(const membership_loop &) = delete;

    /// Starts the threads. The network must outlive stop().
    void start(Wire::peer_network &network);
    void stop();

    /// Tells the fleet that this daemon leaves.
    void leave();
    /// Serves a peer's message; runs on the network's thread.
    Membership::gossip_message onGossip(const Membership::gossip_message &message);
    Wire::configuration_reply onReadConfiguration(std::uint64_t aboveNumber);

    /// Where a peer serves other daemons; empty if it is unknown.
    std::string peerAddress(const std::string &name);
    std::vector<Membership::entry> entries(const std::string &dataCentre);
    std::map<std::string, std::uint64_t> numbersInForce();
    std::size_t watchRank();
    bool isIsolated();
    bool isLeaving();
    /// How long news of this daemon needs to reach every daemon that answers /v1/entries.
    Core::duration spreadTime();
    /// Whether the first ownership is old enough for this daemon to warm replicas, which a fresh fleet must wait for.
    bool isSettled() const;

private:
    void run();
    void gossipOnce();
    void announce();
    void send(const std::string &address, Membership::gossip_message message);
    void onReply(const std::string &address, const Membership::gossip_message &reply);
    void noticeConfiguration();
    void fetchConfiguration();
    void fetchFrom(const std::string &address, std::uint64_t aboveNumber);
    void updateOwnership();
    void confirmOwnership();
    bool knowsItsPlace(Core::time_point now);
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
    std::atomic<Core::time_point> m_settledAt {Core::time_point::max()};
    // Used on the loop's thread only.
    Core::time_point m_nextRound;
    Core::time_point m_nextAnnouncement = Core::time_point::max();
    Core::time_point m_resumedAt; ///< The last time that the process had not run for a while.
    std::uint64_t m_announcedNumber = 0;
    Membership::fleet m_fleet;
    std::uint64_t m_ownershipNumber = 0; ///< The configuration number that ownership was computed for.
    std::thread m_thread;
};
