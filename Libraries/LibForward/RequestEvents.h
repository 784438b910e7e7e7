#pragma once

#include "LibCore/Time.h"
#include "LibForward/RequestEffects.h"

#include <cstdint>

/// The life of one request as a state machine. Every function returns what the daemon has to do next.
namespace Forward
{
enum class attempt_failure;
struct forward_context;
struct part_answer;
struct request_state;

/// Sends the first attempt of each part. The plan must be set.
[[nodiscard]] request_effects startRequest(request_state &request, forward_context &context, Core::time_point now);

/// Takes a whole, successful answer to an attempt.
[[nodiscard]] request_effects onAnswer(request_state &request, forward_context &context, std::uint32_t attempt,
                                       part_answer answer, Core::time_point now);

/// Takes the end of an attempt without a usable answer; tries elsewhere where that is allowed.
[[nodiscard]] request_effects onFailure(request_state &request, forward_context &context, std::uint32_t attempt,
                                        attempt_failure failure, Core::time_point now);

/// Sends hedges that are due, and ends the request when its time has come.
[[nodiscard]] request_effects onTimer(request_state &request, forward_context &context, Core::time_point now);

/// Ends a request whose caller has left. Its attempts are the driver's to cancel.
void abandonRequest(request_state &request, forward_context &context);
} // namespace Forward
