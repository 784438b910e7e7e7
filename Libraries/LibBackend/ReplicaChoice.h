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

/// Whether the replica takes new work of requests that the filter describes, its load and warmth aside.
[[nodiscard]] bool mayServe(const replica_state &replica, const replica_filter &filter);

/// Chooses the replica that a request should be sent to, or nothing if none may take it now. The caller learns why from
/// availabilityOf.
[[nodiscard]] std::optional<std::size_t> chooseReplica(const service_state &service, const replica_filter &filter,
                                                       Core::time_point now, Core::random_engine &random);

/// Tells whether a request can be sent from this daemon, and if not, why and where else.
[[nodiscard]] shard_availability availabilityOf(const service_state &service, const replica_filter &filter,
                                                Core::time_point now);
} // namespace Backend
