#pragma once

#include "LibBackend/AttemptFailure.h"

#include <cstddef>

namespace Query
{
/// Effect: a shard has failed for good. A branch reports it to its root.
struct lost_shard {
    std::size_t shard = 0; ///< Index in the plan's shards.
    Backend::attempt_failure failure =
        Backend::attempt_failure::NotRun; ///< A failure for which Backend::provesNotRun() holds only if no attempt may
                                          ///< have run.
};
} // namespace Query
