#pragma once

#include <cstddef>
#include <cstdint>

namespace Configuration
{
/// A VM's view of the fleet when it schedules its next call to the store.
struct watch_view {
    std::size_t rank = 0; ///< Its index in the result of watchOrder().
    std::size_t liveMembers = 1;
    std::uint64_t numberInForce = 0; ///< 0 if no configuration is in force yet.
};
} // namespace Configuration
