#pragma once

namespace Forward
{
/// How a request ends.
enum class request_verdict {
    Answered, ///< Enough parts were answered, or the single replica answered.
    ReplicaFailed, ///< The replica's own failure is the answer.
    NotRun, ///< No replica ran the request, and none will.
    Failed, ///< Attempts failed that may have run.
    TimedOut, ///< The time is over, and something may have run.
};

/// The verdict's name in logs and metrics.
[[nodiscard]] const char *verdictName(request_verdict verdict);
} // namespace Forward
