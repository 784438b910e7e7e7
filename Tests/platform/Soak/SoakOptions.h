#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Soak
{
/// What one run is told on the command line.
struct soak_options {
    std::uint64_t seed = 1;
    std::size_t daemons = 4;
    std::chrono::milliseconds callerPause {30}; ///< Of each caller, between an answer and its next request.
    std::size_t callers = 24;
    std::string logFolder; ///< Where the daemons' output goes; empty: nowhere.
};
} // namespace Soak
