#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Forward
{
struct choice_filter;
struct replica_book;
struct replica_state;

/// Whether a replica is avoided after failures, and so chosen only where there is no other.
[[nodiscard]] bool isAvoided(const replica_state &replica, Core::time_point now);

/// Whether a replica has failed several times in a row and is not due for another try.
[[nodiscard]] bool seemsDead(const replica_state &replica, Core::time_point now);

/// Chooses the replica of a service with the shortest expected latency, or nothing if none may take the request.
[[nodiscard]] std::optional<std::size_t> chooseReplica(const replica_book &book, std::size_t service,
                                                       const choice_filter &filter, Core::time_point now,
                                                       Core::random_engine &random);

/// Counts a request against a cold replica's allowance.
void recordColdRequest(replica_state &replica, Core::time_point now);
} // namespace Forward
