#pragma once

#include <cstdint>

namespace Wire
{
/// The end of a branch.
struct branch_summary {
    std::uint32_t shardRequests = 0; ///< Attempts sent to backend servers, for the accounts.
    std::uint32_t messages = 0; ///< Messages that the branch sent, counted by the peer network.
};
} // namespace Wire
