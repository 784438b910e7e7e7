#pragma once

#include <cstdint>

namespace Configuration
{
/// State that a VM keeps between its configuration calls to the store.
struct watch_state {
    std::uint32_t failures = 0; ///< Number of consecutive failed calls.
};
} // namespace Configuration
