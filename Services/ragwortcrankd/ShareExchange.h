#pragma once

#include "LibCore/RandomEngine.h"
#include "LibMembership/GossipMessage.h"
#include "LibTeams/UsageExchange.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

struct daemon_state;
class patch_writer;

/// Exchanges team usage and rollout evidence with randomly chosen peers, one at a time, and updates admission control
/// and rollouts. It sends its own messages, since the interval of membership gossip grows with the fleet beyond what
/// the enforcement of shares allows.
class share_exchange
{
public:
    share_exchange(daemon_state &daemon, std::uint64_t seed);
    ~share_exchange();
    share_exchange(const share_exchange &) = delete;
    share_exchange &operator=(const share_exchange &) = delete;

    /// Starts the thread. `writer` and the daemon's membership and peer network must outlive stop().
    void start(patch_writer &writer);
    void stop();

    /// Returns whether a message of a peer belongs to this exchange rather than to membership gossip.
    [[nodiscard]] static bool isShareMessage(const Membership::gossip_message &message);
    /// Handles a message of a peer and returns the reply. Thread-safe.
    Membership::gossip_message onMessage(const Membership::gossip_message &message);

private:
    void run();
    void update(Core::duration sinceLast);
    void closeRollouts();
    void exchangeWithPeer();
    Membership::gossip_message makeMessage();
    void merge(const Membership::gossip_message &message);
    std::string choosePeer();

    daemon_state &m_daemon;
    patch_writer *m_writer = nullptr;
    std::mutex m_mutex;
    Teams::usage_exchange m_usage; ///< Guarded by m_mutex.
    Core::random_engine m_random; ///< Guarded by m_mutex.
    std::atomic<std::size_t> m_messageBytes {0};
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};
