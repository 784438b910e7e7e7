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

/// Exchanges team usage and rollout evidence with one peer after the other, and brings admission and rollouts up to
/// date. It has its own messages, since gossip of membership slows down with the fleet more than shares may.
class share_exchange
{
public:
    share_exchange(daemon_state &daemon, std::uint64_t seed);
    ~share_exchange();
    share_exchange(const share_exchange &) = delete;
    share_exchange &operator=(const share_exchange &) = delete;

    /// Starts the thread. The daemon's membership and peer network and the writer must outlive stop().
    void start(patch_writer &writer);
    void stop();

    /// Whether a peer's message is of this exchange and not of membership.
    [[nodiscard]] static bool isOwn(const Membership::gossip_message &message);
    /// Serves a peer's message; from any thread.
    Membership::gossip_message onMessage(const Membership::gossip_message &message);

private:
    void run();
    void update(Core::duration sinceLast);
    void closeRollouts();
    void exchangeOnce();
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
