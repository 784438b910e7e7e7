#pragma once

#include "LibBackend/AttemptFailure.h"

#include <cstddef>

namespace Query
{
/// Effect: a shard was given up. A branch tells its root.
struct lost_shard {
    std::size_t shard = 0; ///< Index in the plan's shards.
    Backend::attempt_failure failure =
        Backend::attempt_failure::NotRun; ///< Proves not run only if no attempt may have.
};
} // namespace Query
