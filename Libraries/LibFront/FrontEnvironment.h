#pragma once

#include "LibForward/ForwardContext.h"
#include "LibFront/DecisionLog.h"
#include "LibFront/FrontCounters.h"
#include "LibFront/HeaderNames.h"
#include "LibFront/ReplicaConnections.h"
#include "LibFront/TimerQueue.h"

#include <memory>
#include <optional>

namespace Forward
{
struct traffic_configuration;
}

namespace Front
{
/// State shared by all requests of a daemon. Accessed only from the thread of the event loop.
struct front_environment {
    timer_queue &timers;
    decision_log &log;
    header_names names;
    Forward::forward_context forward;
    replica_connections connections;
    std::shared_ptr<const Forward::traffic_configuration> configuration; ///< In force; null until one is received.
    front_counters counters;
    std::optional<Core::time_point> stopsAt {}; ///< Set in a planned stop: all requests must have ended by then.
    Core::time_point startedAt = std::chrono::steady_clock::now();
    Core::wall_time startedAtWallTime = std::chrono::system_clock::now();

    /// Returns wall-clock time extrapolated from the start of the process by the monotonic clock, so that it never
    /// jumps.
    [[nodiscard]] Core::wall_time wallTimeAt(Core::time_point now) const
    {
        return startedAtWallTime + std::chrono::duration_cast<Core::wall_time::duration>(now - startedAt);
    }
};
} // namespace Front
