#pragma once

#include "LibWire/BranchShardAnswer.h"
#include "LibWire/BranchShardFailure.h"

#include <vector>

namespace Wire
{
/// What a branch has found since its last message.
struct branch_answers {
    std::vector<branch_shard_answer> answers;
    std::vector<branch_shard_failure> failures;
};
} // namespace Wire
