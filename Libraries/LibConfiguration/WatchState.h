#pragma once

#include <cstdint>

namespace Configuration
{
/// What a VM remembers between its calls to the store for the configuration.
struct watch_state {
    std::uint32_t failures = 0; ///< Calls in a row that failed.
};
} // namespace Configuration
