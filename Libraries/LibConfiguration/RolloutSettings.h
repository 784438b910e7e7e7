#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Configuration
{
/// One movement of a service's traffic from one backend server version to another.
struct rollout_settings {
    std::uint64_t number = 0; ///< Grows with each rollout of the service; verdicts are keyed by it.
    std::string fromVersion;
    std::string toVersion;
    std::chrono::system_clock::time_point start; ///< Seconds since the epoch in the document.
    std::chrono::system_clock::time_point deadline; ///< All traffic uses toVersion by then if it is good.
    bool takenBack = false; ///< Set by operators, or by the system after a bad verdict.
    std::uint64_t change = 0; ///< The configuration number that began it; set by the system.
    bool operator==(const rollout_settings &) const = default;
};
} // namespace Configuration
