#pragma once

#include <cstdint>

namespace Wire
{
/// The counts that a branch reports to its root when it ends.
struct branch_summary {
    std::uint32_t shardRequests = 0; ///< Attempts sent to backend servers, for the team's account.
    std::uint32_t messages = 0; ///< Messages that the branch has sent, counted by the peer network.
};
} // namespace Wire
