#pragma once

#include "LibBackend/AttemptFailure.h"
#include "LibQuery/ShardState.h"

namespace Query
{
/// Returns the failure to report for a failed shard. It proves that the request did not run only if no attempt for the
/// shard may have run.
[[nodiscard]] inline Backend::attempt_failure shardFailureOf(const shard_state &shard)
{
    const bool proved = Backend::provesNotRun(shard.lastFailure);
    if (shard.mayHaveRun) {
        return proved ? Backend::attempt_failure::ConnectionLost : shard.lastFailure;
    }
    return proved ? shard.lastFailure : Backend::attempt_failure::NotRun;
}
} // namespace Query
