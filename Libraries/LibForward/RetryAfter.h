#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

namespace Forward
{
enum class refusal_cause;
struct forward_context;
struct request_state;

/// Returns why a request ended as not run.
[[nodiscard]] refusal_cause refusalCauseOf(const request_state &request);

/// Returns a random delay after which a request that ended as not run may be served. If replicas want no requests for a
/// while, that is the rest of this time.
[[nodiscard]] Core::duration retryAfterFor(const request_state &request, forward_context &context,
                                           Core::time_point now);

/// Returns a random delay after which the cause of the refusal is likely to have passed. It is spread, so that refused
/// callers do not all return at once.
[[nodiscard]] Core::duration randomRetryAfter(refusal_cause cause, Core::random_engine &random);
} // namespace Forward
