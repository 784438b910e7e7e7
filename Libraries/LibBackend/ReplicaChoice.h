#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Backend
{
struct replica_filter;
struct replica_state;
struct service_state;
struct shard_availability;

/// Returns whether the replica accepts new requests that the filter describes, regardless of its load and slow start.
[[nodiscard]] bool mayServe(const replica_state &replica, const replica_filter &filter);

/// Chooses the replica that a request is to be sent to, or nothing if none can accept it now; availabilityOf() returns
/// the reason.
[[nodiscard]] std::optional<std::size_t> chooseReplica(const service_state &service, const replica_filter &filter,
                                                       Core::time_point now, Core::random_engine &random);

/// Returns whether this daemon can send a request to a replica now, and if not, why, and which daemon can.
[[nodiscard]] shard_availability availabilityOf(const service_state &service, const replica_filter &filter,
                                                Core::time_point now);
} // namespace Backend
