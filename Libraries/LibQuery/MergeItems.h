#pragma once

#include "LibQuery/ResultItem.h"

#include <cstddef>
#include <vector>

namespace Query
{
/// The most items that an answer to a caller holds.
inline constexpr std::size_t mostItems = 100;

/// Adds items to a heap that keeps the best `mostItems`.
void mergeItems(std::vector<result_item> &best, std::vector<result_item> &&added);

/// Brings the heap into its final order, the best first. Equal scores are ordered by id, so that the order in which
/// shards answered does not show.
void sortItems(std::vector<result_item> &best);
} // namespace Query
