#pragma once

#include <string>

namespace Query
{
/// One shard that a query has to ask.
struct planned_shard {
    std::string name;
    double weight = 0.0; ///< The shard's weight in the pinned snapshot's map.
};
} // namespace Query
