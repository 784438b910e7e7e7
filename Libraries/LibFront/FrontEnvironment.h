#pragma once

#include "LibForward/ForwardContext.h"
#include "LibFront/DecisionLog.h"
#include "LibFront/FrontCounters.h"
#include "LibFront/HeaderNames.h"
#include "LibFront/ReplicaConnections.h"
#include "LibFront/TimerQueue.h"

#include <memory>

namespace Forward
{
struct traffic_configuration;
}

namespace Front
{
/// What all requests of a daemon share. Everything runs on the event loop's one thread.
struct front_environment {
    timer_queue &timers;
    decision_log &log;
    header_names names;
    Forward::forward_context forward;
    replica_connections connections;
    std::shared_ptr<const Forward::traffic_configuration> configuration; ///< In force; null until one is known.
    front_counters counters;
    Core::time_point startedAt = std::chrono::steady_clock::now();
    Core::wall_time startedAtWall = std::chrono::system_clock::now();

    /// Civil time as of the start, carried on by the steady clock, so that it never jumps.
    [[nodiscard]] Core::wall_time civilTime(Core::time_point now) const
    {
        return startedAtWall + std::chrono::duration_cast<Core::wall_time::duration>(now - startedAt);
    }
};
} // namespace Front
