#pragma once

#include <cstddef>
#include <cstdint>

namespace Configuration
{
/// What a VM knows of the fleet when it decides on its next call to the store.
struct watch_view {
    std::size_t rank = 0; ///< Its place in watchOrder().
    std::size_t liveMembers = 1;
    std::uint64_t numberInForce = 0; ///< 0: none yet.
};
} // namespace Configuration
