#pragma once

#include "LibBackend/AttemptFailure.h"

#include <cstddef>

namespace Query
{
/// Effect: a shard has failed for good. A branch reports it to its root.
struct failed_shard {
    std::size_t shard = 0; ///< Index in the plan's shards.
    /// Backend::provesNotRun() holds for it only if no attempt for the shard may have run.
    Backend::attempt_failure failure = Backend::attempt_failure::NotRun;
};
} // namespace Query
