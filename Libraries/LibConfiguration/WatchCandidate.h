#pragma once

#include <string>

namespace Configuration
{
/// A live VM that could watch the store.
struct watch_candidate {
    std::string virtualMachine;
    std::string region;
};
} // namespace Configuration
