#pragma once

namespace Forward
{
/// How a request ends.
enum class request_outcome {
    Answered, ///< Enough shards answered, or the single replica did.
    ReplicaFailed, ///< The replica's error response is forwarded to the caller.
    NotRun, ///< No replica has executed the request, and none will.
    Failed, ///< Attempts failed that may have executed the request.
    TimedOut, ///< The deadline passed, and the request may have been executed.
};

/// The name used in logs and metrics.
[[nodiscard]] const char *requestOutcomeName(request_outcome outcome);
} // namespace Forward
