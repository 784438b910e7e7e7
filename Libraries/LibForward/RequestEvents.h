#pragma once

#include "LibCore/Time.h"
#include "LibForward/RequestEffects.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

/// State machine for the lifetime of one request. The event functions return the actions that the daemon has to take.
namespace Forward
{
enum class attempt_failure;
enum class attempt_kind;
struct forward_context;
struct partial_result;
struct replica_key;
struct replica_table;
struct request_state;

/// Sends the first attempt to each shard or to the single service. The plan must be set.
[[nodiscard]] request_effects startRequest(request_state &request, forward_context &context, Core::time_point now);

/// Handles a complete and successful response to an attempt.
[[nodiscard]] request_effects onAnswer(request_state &request, forward_context &context, std::uint32_t attempt,
                                       partial_result answer, Core::time_point now);

/// Handles the end of an attempt without a usable response. Retries on another replica if that is allowed.
[[nodiscard]] request_effects onFailure(request_state &request, forward_context &context, std::uint32_t attempt,
                                        attempt_failure failure, Core::time_point now);

/// Sends hedges that are due, and ends the request when one of its deadlines has passed.
[[nodiscard]] request_effects onTimer(request_state &request, forward_context &context, Core::time_point now);

/// Returns the time that an attempt has left when a connection becomes available for it. Returns nothing if it must be
/// withdrawn: the request has ended, the replica with `replicaId` is gone or takes no requests any more, or less than a
/// millisecond is left.
[[nodiscard]] std::optional<std::chrono::milliseconds>
timeLeftForAttempt(const request_state &request, const replica_table &replicaTable, const replica_key &key,
                   std::string_view replicaId, Core::time_point deadline, Core::time_point now);

/// Returns what an attempt has taken from the retry budget although it reached no replica. `onFailure` does this for
/// attempts of running requests; this is for those that outlive their request.
void recordUnsentAttempt(forward_context &context, const replica_key &replica, attempt_kind kind,
                         Core::time_point sentAt, Core::time_point now);

/// Ends a request whose caller has disconnected. Cancelling its attempts is left to the calling code.
void abandonRequest(request_state &request, forward_context &context);
} // namespace Forward
