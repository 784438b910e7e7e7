#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Backend
{
struct replica_filter;
struct service_state;

/// Takes the cold replica that should get a copy of an idempotent request which another replica of the shard was sent,
/// and records the copy as sent. The answer is dropped after recordAnswer, so no caller waits for a cold replica.
/// Only the daemon that warms the replica sends copies, one at a time, and only from extra load that hedges and
/// retries leave over. The caller names in the filter what the request itself may use.
[[nodiscard]] std::optional<std::size_t> takeWarmUp(service_state &service, const replica_filter &filter,
                                                    Core::time_point now);
} // namespace Backend
