#pragma once

#include "LibBackend/WarmthRecord.h"
#include "LibCore/Time.h"

#include <vector>

namespace Backend
{
struct replica_report;
struct replica_state;
struct service_state;

/// Joins two records of one replica: commutative, associative and idempotent.
[[nodiscard]] warmth_record joinWarmth(const warmth_record &left, const warmth_record &right);

/// The records that changed after a point in time, for the next exchange with peers. A peer that knows nothing yet is
/// given all of them: `Core::time_point::min()`.
[[nodiscard]] std::vector<warmth_record> exportWarmth(const service_state &service, Core::time_point changedAfter);

/// Takes records from a peer. Records of unknown replicas are ignored; old ones change nothing.
void importWarmth(service_state &service, const std::vector<warmth_record> &records, Core::time_point now);

/// Starts the cold start of a replica that a configuration added or brought back.
void restartWarmth(replica_state &replica, std::uint64_t configuration, Core::time_point now);

/// Learns from what a replica said of itself: a new incarnation and a report of being cold start its cold start.
void observeReport(replica_state &replica, const replica_report &report, Core::time_point now);

/// Counts an answer as evidence of warmth if it was neither reported cold nor slow. Only the daemon that warms the
/// replica moves it on to the next level.
void observeWarmAnswer(service_state &service, replica_state &replica, Core::duration latency, Core::time_point now);

/// Takes a request that another replica overtook as evidence against warmth. Hedges cut off the slow answers, and those
/// that are left would make a cold replica look warm.
void observeOvertaken(const service_state &service, replica_state &replica, Core::duration elapsed);

/// Whether the cold start leaves room for one more request of this daemon to the replica.
[[nodiscard]] bool hasColdRoom(const service_state &service, const replica_state &replica, Core::time_point now);
} // namespace Backend
