#pragma once

#include <cstdint>

namespace Teams
{
/// Usage of one team. All counts are monotonic.
struct team_account {
    std::uint64_t queries = 0; ///< Admitted queries.
    std::uint64_t refused = 0; ///< Queries refused because of the team's share or overload.
    std::uint64_t shardRequests = 0; ///< Requests sent to backend servers.
    std::uint64_t extraShardRequests = 0; ///< Hedges and retries included in `shardRequests`.
    bool operator==(const team_account &) const = default;
};
} // namespace Teams
