#pragma once

#include "LibQuery/ResultItem.h"

#include <string>
#include <vector>

namespace Wire
{
/// One shard's partial result, sent from the branch to the root.
struct branch_shard_answer {
    std::string shard;
    std::string snapshot; ///< The snapshot that the result was computed from.
    std::vector<Query::result_item> items;
};
} // namespace Wire
