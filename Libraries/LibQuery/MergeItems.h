#pragma once

#include "LibQuery/ResultItem.h"

#include <cstddef>
#include <vector>

namespace Query
{
/// Maximum number of result items in an answer to a caller.
inline constexpr std::size_t maximumResultItems = 100;

/// Adds items to a heap that keeps the `maximumResultItems` best ones.
void mergeItems(std::vector<result_item> &best, std::vector<result_item> &&added);

/// Sorts the heap, best item first. Equal scores are ordered by id, so that the result does not depend on the order in
/// which the shards answered.
void sortItems(std::vector<result_item> &best);
} // namespace Query
