#pragma once

#include <cstdint>

namespace Query
{
struct query_state;

/// Returns how many requests went to backend servers for the query so far. A request through a branch counts once: as
/// what the branch says that it sent.
[[nodiscard]] std::uint32_t shardRequestsOf(const query_state &query);
} // namespace Query
