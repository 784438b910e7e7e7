#pragma once

#include "LibBackend/AttemptFailure.h"
#include "LibBackend/ReplicaReport.h"

#include <optional>
#include <utility>

namespace Backend
{
/// How an attempt failed, with what the replica said of itself if it answered at all.
struct failed_attempt {
    // Most failures carry no report, so that they convert by themselves.
    // NOLINTNEXTLINE(google-explicit-constructor)
    failed_attempt(attempt_failure kind)
        : failure(kind)
    {
    }
    failed_attempt(attempt_failure kind, replica_report said)
        : failure(kind)
        , report(std::move(said))
    {
    }

    attempt_failure failure;
    std::optional<replica_report> report; ///< A refusal may tell that the replica is leaving or cold.
};
} // namespace Backend
