#pragma once

#include "LibQuery/ResultItem.h"

#include <string>
#include <vector>

namespace Wire
{
/// One shard's answer on its way from the branch to the root.
struct branch_shard_answer {
    std::string shard;
    std::string snapshot; ///< The snapshot that the answer was computed from.
    std::vector<Query::result_item> items;
};
} // namespace Wire
