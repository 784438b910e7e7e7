#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Backend
{
struct replica_filter;
struct service_state;

/// Chooses the replica that a request should be sent to, or nothing if none may take it now.
[[nodiscard]] std::optional<std::size_t> chooseReplica(const service_state &service, const replica_filter &filter,
                                                       Core::time_point now, Core::random_engine &random);
} // namespace Backend
