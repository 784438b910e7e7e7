#pragma once

#include "Fleet.h"
#include "ObjectStore.h"
#include "Replica.h"

#include "LibCore/RandomEngine.h"
#include "LibFront/TimerQueue.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Soak
{
class caller;
class judge;

/// Draws what happens to the system: troubles, which may overlap, and planned work.
class disturber
{
public:
    using caller_list = std::vector<std::unique_ptr<caller>>;

    disturber(Front::timer_queue &timers, judge &rules, object_store &store, fleet &daemons,
              std::vector<std::unique_ptr<replica>> &replicas, caller_list &callers, std::uint64_t seed);

    /// Writes the first configuration and registers every replica.
    void prepare();
    /// Troubles begin, one after the other, until the given time.
    void stormUntil(std::chrono::steady_clock::time_point end);
    /// Planned work only, until the given time.
    void workUntil(std::chrono::steady_clock::time_point end);
    /// All replicas of a service but one state limits on their request rates for a while.
    void limitRequests(std::size_t service, std::chrono::milliseconds length);
    /// Reports troubles that last.
    void look();

private:
    void beginTrouble();
    void troubleDaemon(std::size_t daemon, int which);
    void troubleReplica(replica &place, int which);
    void troubleStore(int which);
    void beginWork();
    /// Does `end` after a drawn time; the trouble lasts until then.
    void endLater(std::chrono::milliseconds longest, std::function<void()> end);
    void writeConfiguration();
    void drain(replica &place);
    void evacuate();
    [[nodiscard]] std::chrono::milliseconds draw(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
    [[nodiscard]] std::size_t drawBelow(std::size_t count);

    Front::timer_queue &m_timers;
    judge &m_judge;
    object_store &m_store;
    fleet &m_fleet;
    std::vector<std::unique_ptr<replica>> &m_replicas;
    caller_list &m_callers;
    Core::random_engine m_random;
    std::uint64_t m_version = 3;
    int m_lasting = 0; ///< Troubles that have not ended.
    bool m_draining = false; ///< A planned departure is under way.
    bool m_evacuating = false;
};
} // namespace Soak
