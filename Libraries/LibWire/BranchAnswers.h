#pragma once

#include "LibWire/BranchShardAnswer.h"
#include "LibWire/BranchShardFailure.h"

#include <cstdint>
#include <vector>

namespace Wire
{
/// The partial results and failures that a branch has collected since its last message.
struct branch_answers {
    std::vector<branch_shard_answer> answers;
    std::vector<branch_shard_failure> failures;
    std::uint32_t shardRequests = 0; ///< Requests sent to backend servers since the branch started.
};
} // namespace Wire
