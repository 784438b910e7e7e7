#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Forward
{
struct choice_filter;
struct replica_table;
struct replica_state;

/// Whether a replica is avoided after recent failures. It is then chosen only if no other replica is eligible.
[[nodiscard]] bool isAvoided(const replica_state &replica, Core::time_point now);

/// Whether a replica has failed several times in a row and is still being avoided.
[[nodiscard]] bool isPresumedDown(const replica_state &replica, Core::time_point now);

/// Returns the index of the eligible replica with the shortest expected latency, or nothing if none is eligible.
[[nodiscard]] std::optional<std::size_t> chooseReplica(const replica_table &replicaTable, std::size_t service,
                                                       const choice_filter &filter, Core::time_point now,
                                                       Core::random_engine &random);

/// Counts a request against the request rate that a replica in slow start may receive.
void recordColdRequest(replica_state &replica, Core::time_point now);
} // namespace Forward
