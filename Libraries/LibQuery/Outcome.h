#pragma once

namespace Query
{
/// Outcome of a query as reported to the caller. Callers rely on the exact meaning of each value.
enum class outcome {
    Answered, ///< Every shard of the pinned snapshot answered.
    Partial, ///< Some shards answered; the coverage gives the fraction of the index.
    NotRun, ///< No backend server ran the request.
    Unknown, ///< The request may have run.
};

/// Returns the name of the outcome as written in answers: answered, partial, not_run or unknown.
[[nodiscard]] const char *outcomeName(outcome value);
} // namespace Query
