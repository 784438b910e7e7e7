#pragma once

#include "LibBackend/AttemptFailure.h"
#include "LibQuery/ShardState.h"

namespace Query
{
/// Returns what may be said of a shard that was given up: a failure that proves not run only if no attempt may have
/// run.
[[nodiscard]] inline Backend::attempt_failure failureOf(const shard_state &shard)
{
    const bool proved = Backend::provesNotRun(shard.lastFailure);
    if (shard.mayHaveRun) {
        return proved ? Backend::attempt_failure::ConnectionLost : shard.lastFailure;
    }
    return proved ? shard.lastFailure : Backend::attempt_failure::NotRun;
}
} // namespace Query
