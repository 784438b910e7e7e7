#pragma once

#include "LibBackend/AttemptFailure.h"

#include <string>

namespace Wire
{
/// A shard for which the branch returns no result, with the reason.
struct branch_shard_failure {
    std::string shard;
    Backend::attempt_failure failure = Backend::attempt_failure::InvalidResponse;
};
} // namespace Wire
