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

/// Decides what follows a failed attempt: another attempt now, one later, a restart of the query, or giving the shard
/// up.
void retryAfter(query_state &query, Backend::service_state &service, std::size_t shard,
                Backend::attempt_failure failure, query_effects &effects, Core::time_point now,
                Core::random_engine &random);

/// Lets a shard that nobody may take now wait for a replica, or gives it up if none can ever serve it.
void waitOrGiveUp(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
                  Core::time_point now);

/// Tries the waiting shards again.
void sendWaiting(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                 Core::random_engine &random);
} // namespace Query
