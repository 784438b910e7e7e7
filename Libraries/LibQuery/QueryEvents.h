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
enum class cancelled_end;

/// Starts a query: chooses a target for each shard. The caller holds the service's lock during each of these calls.
[[nodiscard]] query_effects startQuery(query_state &query, Backend::service_state &service, Core::time_point now,
                                       Core::random_engine &random);

/// Takes an answer to one attempt. Answers to other requests, snapshots or ended attempts are never merged.
[[nodiscard]] query_effects onAnswer(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                                     shard_answer answer, Core::time_point now, Core::random_engine &random);

/// Takes the end of an attempt without an answer; retries where that is safe.
[[nodiscard]] query_effects onFailure(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                                      const Backend::failed_attempt &failed, Core::time_point now,
                                      Core::random_engine &random);

/// Sends hedges and waiting retries that are due and ends the query at its deadline.
[[nodiscard]] query_effects onTimer(query_state &query, Backend::service_state &service, Core::time_point now,
                                    Core::random_engine &random);

/// Ends a query whose answer nobody waits for any more.
[[nodiscard]] query_effects abandonQuery(query_state &query, Backend::service_state &service, Core::time_point now);

/// Takes the end of a cancelled attempt's call, which until then counts as in flight. Needs no query, since most end
/// after theirs.
void onCancelledEnd(Backend::service_state &service, const cancel_attempt &attempt, cancelled_end end,
                    Core::time_point now);
} // namespace Query
