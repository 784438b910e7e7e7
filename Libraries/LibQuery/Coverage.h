#pragma once

namespace Query
{
struct query_state;

/// Returns the weight of the answered shards as a fraction (0 to 1) of the total weight of the pinned snapshot.
[[nodiscard]] double coverageOf(const query_state &query);
} // namespace Query
