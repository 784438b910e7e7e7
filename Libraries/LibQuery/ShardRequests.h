#pragma once

#include <cstdint>

namespace Query
{
struct query_state;

/// Returns the number of requests sent to backend servers for the query so far. Requests through a branch are counted
/// only as the number that the branch reports.
[[nodiscard]] std::uint32_t shardRequestsOf(const query_state &query);
} // namespace Query
