#pragma once

#include "LibQuery/ResultItem.h"

#include <string>
#include <vector>

namespace StandIns
{
/// Returns the items that every stand-in backend server answers for one shard of one snapshot and one query, so that
/// a caller can check a merged answer without asking anybody.
[[nodiscard]] std::vector<Query::result_item> expectedItems(const std::string &snapshot, const std::string &shard,
                                                            const std::string &query);
} // namespace StandIns
