#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibQuery/AttemptKind.h"
#include "LibQuery/AttemptState.h"
#include "LibQuery/QueryEffects.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Backend
{
struct failed_attempt;
struct replica_filter;
struct service_state;
} // namespace Backend

namespace Query
{
struct query_state;

/// Maximum number of attempts for one shard of a query, including hedges and retries.
inline constexpr std::uint32_t maximumAttemptsPerShard = 3;

/// Returns the filter for a shard's replicas. The filter holds references into the query's plan.
[[nodiscard]] Backend::replica_filter filterFor(const query_state &query, std::size_t shard);

/// Sends one attempt for a shard, to a replica or to a branch. Returns false if no target can accept it now.
[[nodiscard]] bool sendAttempt(query_state &query, Backend::service_state &service, std::size_t shard,
                               attempt_kind kind, query_effects &effects, Core::time_point now,
                               Core::random_engine &random);

/// Returns the index of the shard that the attempt was sent for.
[[nodiscard]] std::size_t shardOfAttempt(std::uint64_t attempt);

/// Returns whether the attempt is the first one for its shard.
[[nodiscard]] bool isFirstAttempt(std::uint64_t attempt);

/// Removes an attempt in flight from its shard and returns it. Returns nothing if the attempt is unknown, cancelled or
/// ended.
[[nodiscard]] std::optional<attempt_state> removeAttempt(query_state &query, std::uint64_t attempt);

/// Records the failure of an attempt in the state of its target (replica or peer).
void recordAttemptFailure(Backend::service_state &service, const attempt_state &attempt,
                          const Backend::failed_attempt &failed, Core::time_point now);

/// Requests cancellation of all attempts in flight for a shard. They count as in flight until
/// `onCancelledAttemptEnded()`.
void cancelRunning(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
                   Core::time_point now);
} // namespace Query
