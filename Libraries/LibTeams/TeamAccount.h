#pragma once

#include <cstdint>

namespace Teams
{
/// What one team has drawn; each number only grows.
struct team_account {
    std::uint64_t queries = 0; ///< Admitted queries.
    std::uint64_t refused = 0; ///< Queries refused over share or under overload.
    std::uint64_t shardRequests = 0; ///< Requests sent to backend servers.
    std::uint64_t extraShardRequests = 0; ///< Part of them that were hedges and retries.
    bool operator==(const team_account &) const = default;
};
} // namespace Teams
