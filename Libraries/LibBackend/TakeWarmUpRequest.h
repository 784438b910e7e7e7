#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Backend
{
struct replica_filter;
struct service_state;

/// Chooses the cold replica to send a warm-up request to, and records the request as sent. A warm-up request is a copy
/// of an idempotent request that was sent to another replica of the shard. Its response is discarded after
/// recordResponse(), so no query waits for a cold replica. Only the owner that runs the replica's slow start sends
/// warm-up requests, one at a time, and only with tokens that hedges and retries leave over. The filter describes the
/// replicas that the original request may use.
[[nodiscard]] std::optional<std::size_t> takeWarmUpRequest(service_state &service, const replica_filter &filter,
                                                           Core::time_point now);
} // namespace Backend
