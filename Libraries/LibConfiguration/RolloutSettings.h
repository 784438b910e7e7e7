#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Configuration
{
/// A gradual shift of a service's traffic from one backend server version to another.
struct rollout_settings {
    std::uint64_t number = 0; ///< Increases with each rollout of the service; verdicts are keyed by it.
    std::string fromVersion;
    std::string toVersion;
    std::chrono::system_clock::time_point start; ///< Stored as seconds since the epoch.
    std::chrono::system_clock::time_point deadline; ///< By then all traffic uses toVersion if that version is healthy.
    bool takenBack = false; ///< Set by operators, or by the system after a verdict against toVersion.
    std::uint64_t change = 0; ///< Configuration number that began the rollout; set by the system.
    bool operator==(const rollout_settings &) const = default;
};
} // namespace Configuration
