#pragma once

#include "LibBackend/AttemptFailure.h"
#include "LibBackend/ReplicaReport.h"

#include <optional>
#include <utility>

namespace Backend
{
/// How an attempt failed, with the replica's report if it sent a response.
struct failed_attempt {
    // Most failures carry no report, therefore the conversion is implicit.
    // NOLINTNEXTLINE(google-explicit-constructor)
    failed_attempt(attempt_failure kind)
        : failure(kind)
    {
    }
    failed_attempt(attempt_failure kind, replica_report reported)
        : failure(kind)
        , report(std::move(reported))
    {
    }

    attempt_failure failure;
    std::optional<replica_report> report; ///< A rejection may report that the replica is leaving or cold.
};
} // namespace Backend
