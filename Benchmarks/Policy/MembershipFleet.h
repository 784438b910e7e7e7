#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/WatchState.h"
#include "LibCore/RandomEngine.h"
#include "LibMembership/GossipMessage.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/MembershipSettings.h"
#include "Policy/EventQueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Bench
{
/// Membership and configuration states of a whole fleet on virtual time. Each node does what the daemon's membership
/// loop and configuration watcher do, with the same functions and the real sizes of messages.
class membership_fleet
{
public:
    membership_fleet(std::size_t nodes, std::uint64_t seed);

    /// One daemon.
    struct node {
        Membership::member_table table;
        Core::random_engine random;
        Configuration::watch_state watch;
        Core::time_point announcedAgainAt = Core::time_point::max();
        Core::time_point joinedAt;
        bool alive = true;
        bool slow = false; ///< Handles each message a second late.
        bool fetching = false;
        std::uint64_t bytes = 0; ///< Sent and received for control.
    };

    /// Starts every node with the whole fleet known, as after a long quiet time.
    void startWarm();
    /// Replaces a node by a fresh VM that knows only the platform's list.
    void replace(std::size_t index);
    void runFor(Core::duration time);
    /// Puts a new number into the store.
    void change();

    [[nodiscard]] std::uint64_t storeNumber() const;
    /// Whether every live node has the store's number in force.
    [[nodiscard]] bool isInForce() const;
    /// Live members that some live node holds for dead.
    [[nodiscard]] std::size_t falseDeaths() const;
    /// Lost nodes that some live node does not hold for dead.
    [[nodiscard]] std::size_t undetected() const;
    /// Seconds until `condition` holds, looked at once in each `step`, at most `longest`.
    template<typename Condition>
    double secondsUntil(Condition condition, Core::duration longest,
                        Core::duration step = std::chrono::milliseconds(100))
    {
        const Core::time_point begin = events.now();
        while (!condition() && events.now() - begin < longest) {
            runFor(step);
        }
        return Core::toSeconds(events.now() - begin);
    }
    void resetBytes();
    /// The highest number of control bytes a second of any node that lives, since resetBytes().
    [[nodiscard]] double mostBytesPerSecond() const;

    event_queue events;
    std::vector<std::unique_ptr<node>> nodes;
    bool parted = false; ///< The regions don't reach each other; the store stays with the first.
    std::uint64_t storeCalls = 0;

private:
    [[nodiscard]] Membership::member_record describe(std::size_t index, std::uint64_t incarnation) const;
    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const;
    [[nodiscard]] Core::duration delayTo(std::size_t from, std::size_t to) const;
    void addBlobs(Membership::gossip_message &message) const;
    void start(std::size_t index);
    void round(std::size_t index);
    void announce(std::size_t index);
    void send(std::size_t from, const std::string &address, const Membership::gossip_message &message);
    void deliver(std::size_t from, std::size_t to, const Membership::gossip_message &message);
    void fetch(std::size_t index);
    void adopt(std::size_t index, std::uint64_t number);
    void callStore(std::size_t index);
    void readList(std::size_t index);
    [[nodiscard]] bool reachesStore(std::size_t index) const;

    Membership::membership_settings m_settings;
    Configuration::configuration_document m_document;
    std::map<std::string, std::size_t> m_indexByAddress;
    std::vector<std::uint64_t> m_lives; ///< Grows when a node is replaced; events of an older life are dropped.
    std::vector<std::pair<std::size_t, std::uint64_t>> m_waiting; ///< Watches that wait, with the node's life.
    std::uint64_t m_storeNumber = 1;
    std::uint64_t m_seed;
    Core::time_point m_bytesSince;
};
} // namespace Bench
