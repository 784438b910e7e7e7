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

/// The most attempts for one shard, hedges and retries included.
inline constexpr std::uint32_t mostAttemptsPerShard = 3;

/// Returns the filter for a shard's replicas. It refers to the query's plan.
[[nodiscard]] Backend::replica_filter filterFor(const query_state &query, std::size_t shard);

/// Sends one attempt for a shard, to a replica or to a branch. False if nobody may take it now.
[[nodiscard]] bool sendAttempt(query_state &query, Backend::service_state &service, std::size_t shard,
                               attempt_kind kind, query_effects &effects, Core::time_point now,
                               Core::random_engine &random);

/// Returns the index of the shard that an attempt belongs to.
[[nodiscard]] std::size_t shardOfAttempt(std::uint64_t attempt);

/// Whether the attempt is the first of its shard.
[[nodiscard]] bool isFirstAttempt(std::uint64_t attempt);

/// Takes a running attempt out of its shard; nothing if it does not run, because it is unknown, cancelled or ended.
[[nodiscard]] std::optional<attempt_state> takeAttempt(query_state &query, std::uint64_t attempt);

/// Records that an attempt failed at its target.
void recordAttemptFailure(Backend::service_state &service, const attempt_state &attempt,
                          const Backend::failed_attempt &failed, Core::time_point now);

/// Asks for every running attempt of a shard to be stopped. They stay in flight until onCancelledEnd().
void cancelRunning(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
                   Core::time_point now);
} // namespace Query
