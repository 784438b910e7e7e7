#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Bench
{
/// How a fake replica behaves; scenarios change it while virtual time runs.
struct fake_replica_settings {
    std::uint32_t slots = 2;
    Core::duration serviceTime {std::chrono::milliseconds(5)}; ///< Mean; each request draws 0.5 to 1.5 times it.
    double stragglerPart = 0.0;
    double stragglerFactor = 20.0;
    double slowFactor = 1.0; ///< All requests take this many times as long.
    double failurePart = 0.0; ///< Part of the requests that end with an error after their time.
    bool honoursCancellation = true;
    bool down = false; ///< Connections fail.
    bool leaving = false; ///< Answers not_run, and says so in its reports.
    bool cold = false;
    bool reportsCold = true; ///< False: cold without notice; only slow answers show it.
    std::uint32_t coldSlots = 1; ///< What it bears while cold; with more at once everything takes far longer.
    std::uint32_t warmingRequests = 100; ///< Answered requests until it is warm.
    bool snapshotGone = false;
    bool wrongSnapshot = false; ///< Answers from another snapshot.
    bool wrongRequest = false; ///< Answers carry another request's id.
    std::size_t longestQueue = 1000; ///< Longer queues answer not_run at once.
    std::uint64_t incarnation = 1;
};
} // namespace Bench
