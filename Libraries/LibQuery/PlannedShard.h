#pragma once

#include <string>

namespace Query
{
/// One shard that a query sends a request to.
struct planned_shard {
    std::string name;
    double weight = 0.0; ///< The shard's weight in the pinned snapshot.
};
} // namespace Query
