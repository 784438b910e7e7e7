#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibQuery/QueryEffects.h"

#include <cstddef>

namespace Backend
{
struct service_state;
enum class attempt_failure;
} // namespace Backend

namespace Query
{
struct query_state;

/// Reacts to a failed attempt: retries now or later, restarts the query, or fails the shard.
void retryOrFailShard(query_state &query, Backend::service_state &service, std::size_t shard,
                      Backend::attempt_failure failure, query_effects &effects, Core::time_point now,
                      Core::random_engine &random);

/// Queues a shard for retry if no replica accepts it now, or fails the shard if no replica will be able to serve it.
void queueOrFailShard(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
                      Core::time_point now);

/// Retries the waiting shards.
void retryWaitingShards(query_state &query, Backend::service_state &service, query_effects &effects,
                        Core::time_point now, Core::random_engine &random);
} // namespace Query
