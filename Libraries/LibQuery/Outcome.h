#pragma once

namespace Query
{
/// How a query ended, as told to the caller. Every word is a promise.
enum class outcome {
    Answered, ///< Every shard of the pinned snapshot answered.
    Partial, ///< Some shards answered; the coverage says how much of the index.
    NotRun, ///< No backend server ran the request.
    Unknown, ///< The request may have run.
};

/// Returns the outcome as written in answers: answered, partial, not_run or unknown.
[[nodiscard]] const char *outcomeName(outcome value);
} // namespace Query
