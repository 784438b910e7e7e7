#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Backend
{
struct replica_state;
struct service_state;

/// How long a request to a replica may stay unanswered before its connection counts as silent. It follows the slowest
/// recent answers, and doubles with each silence in a row, so that a slow replica is not condemned over and over.
/// The caller caps it by the request's deadline.
[[nodiscard]] Core::duration silenceBound(const service_state &service, std::size_t replica);

/// The age up to which a kept connection to the replica may be used again; nothing if any may. After a silence, the
/// other connections that were open then are suspected of the same fault.
[[nodiscard]] std::optional<Core::duration> oldestUsableConnection(const replica_state &replica, Core::time_point now);
} // namespace Backend
