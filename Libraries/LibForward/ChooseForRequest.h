#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Forward
{
enum class attempt_kind;
struct forward_context;
struct request_state;

/// Chooses the replica for one more attempt of a subrequest, by the index within its service. Follows the service's
/// rollout, if there is one. Returns nothing if no replica that is not tried yet is eligible.
[[nodiscard]] std::optional<std::size_t> chooseReplicaFor(const request_state &request, std::size_t subrequest,
                                                          attempt_kind kind, forward_context &context,
                                                          Core::time_point now);

/// Chooses the replicas of the first attempts, and marks subrequests that get none because of request limits. A
/// subrequest whose replicas are presumed down gets none either, as long as the others suffice.
[[nodiscard]] std::vector<std::optional<std::size_t>>
chooseFirstReplicas(request_state &request, forward_context &context, Core::time_point now);
} // namespace Forward
