#pragma once

#include "LibBackend/AttemptFailure.h"

#include <string>

namespace Wire
{
/// A shard that the branch gave up.
struct branch_shard_failure {
    std::string shard;
    Backend::attempt_failure failure = Backend::attempt_failure::InvalidResponse;
};
} // namespace Wire
