#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Backend
{
struct replica_state;
struct service_state;

/// Returns the response timeout of a request to a replica, after which its connection counts as silent. It adapts to
/// the slowest recent responses and doubles with each consecutive timeout, so that a slow replica does not time out
/// again and again. The calling function limits it to the request's deadline.
[[nodiscard]] Core::duration responseTimeout(const service_state &service, std::size_t replica);

/// Returns the maximum age of an idle connection to the replica that may be reused; nothing if there is no limit. After
/// a response timeout, the other connections that were open at that time are suspected of the same fault.
[[nodiscard]] std::optional<Core::duration> maximumConnectionAge(const replica_state &replica, Core::time_point now);
} // namespace Backend
