#pragma once

namespace Query
{
struct query_state;

/// Returns the weight of the answered shards as part of the pinned snapshot's whole weight, 0 to 1.
[[nodiscard]] double coverageOf(const query_state &query);
} // namespace Query
