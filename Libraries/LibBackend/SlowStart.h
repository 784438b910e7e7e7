#pragma once

#include "LibBackend/SlowStartRecord.h"
#include "LibCore/Time.h"

#include <vector>

namespace Backend
{
struct replica_report;
struct replica_state;
struct service_state;

/// Joins two slow-start records of one replica. The join is commutative, associative and idempotent.
[[nodiscard]] slow_start_record joinSlowStart(const slow_start_record &left, const slow_start_record &right);

/// Returns the records that changed after a point in time, for the next exchange with peers. A peer without any records
/// is sent all of them: `Core::time_point::min()`.
[[nodiscard]] std::vector<slow_start_record> exportSlowStart(const service_state &service,
                                                             Core::time_point changedAfter);

/// Merges records from a peer. Records of unknown replicas are ignored; outdated records change nothing.
void importSlowStart(service_state &service, const std::vector<slow_start_record> &records, Core::time_point now);

/// Begins the slow start of a replica that a configuration added or brought back into service.
void restartSlowStart(replica_state &replica, std::uint64_t configuration, Core::time_point now);

/// Applies a replica's report. A new incarnation, or a report that the replica is cold, begins its slow start.
void applyReport(replica_state &replica, const replica_report &report, Core::time_point now);

/// Counts a response that was not reported as cold towards the next slow-start level, which is reached if these
/// responses are fast enough. Only the owner that runs the replica's slow start advances it.
void recordSlowStartResponse(service_state &service, replica_state &replica, Core::duration latency,
                             Core::time_point now);

/// Discards the responses counted so far if another replica overtook a slow request. Hedges cancel the slow requests,
/// and the remaining responses would make a cold replica appear warm.
void discardOvertakenResponses(const service_state &service, replica_state &replica, Core::duration elapsed);

/// Returns whether the replica's slow start admits one more request from this daemon.
[[nodiscard]] bool hasSlowStartCapacity(const service_state &service, const replica_state &replica,
                                        Core::time_point now);
} // namespace Backend
