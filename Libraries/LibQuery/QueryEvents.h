#pragma once

#include "LibBackend/FailedAttempt.h"
#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibQuery/QueryEffects.h"
#include "LibQuery/QueryState.h"

#include <cstdint>

namespace Backend
{
struct service_state;
}

namespace Query
{
struct shard_answer;
enum class cancelled_attempt_end;

/// Starts a query and sends the first attempt for each shard. The caller of this function and of the following ones
/// holds the service's lock.
[[nodiscard]] query_effects startQuery(query_state &query, Backend::service_state &service, Core::time_point now,
                                       Core::random_engine &random);

/// Handles the answer to an attempt. Answers for another request or snapshot and answers to ended attempts are never
/// merged.
[[nodiscard]] query_effects onAnswer(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                                     shard_answer answer, Core::time_point now, Core::random_engine &random);

/// Handles an attempt that ended without an answer. Retries it if that is safe.
[[nodiscard]] query_effects onFailure(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                                      const Backend::failed_attempt &failed, Core::time_point now,
                                      Core::random_engine &random);

/// Sends the hedges and waiting retries that are due, and finishes the query at its deadline.
[[nodiscard]] query_effects onTimer(query_state &query, Backend::service_state &service, Core::time_point now,
                                    Core::random_engine &random);

/// Finishes a query whose root has cancelled it.
[[nodiscard]] query_effects cancelQuery(query_state &query, Backend::service_state &service, Core::time_point now);

/// Handles the end of a cancelled attempt's call, which counts as in flight until then. Takes no query, since most of
/// these calls end after their query.
void onCancelledAttemptEnded(Backend::service_state &service, const cancel_attempt &attempt, cancelled_attempt_end end,
                             Core::time_point now);
} // namespace Query
