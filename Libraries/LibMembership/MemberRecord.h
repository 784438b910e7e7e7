#pragma once

#include "LibMembership/ConfigurationNumber.h"

#include <cstdint>
#include <string>

namespace Membership
{
/// The state that a daemon publishes about itself. Records of one VM are merged by a join, so their order of arrival
/// does not matter.
struct member_record {
    std::string name; ///< The VM's name.
    std::uint64_t incarnation = 0; ///< Start time of the daemon in nanoseconds; a higher one replaces a lower one.
    std::uint64_t heartbeat = 0; ///< Incremented in each round while the daemon runs.
    std::string callerAddress; ///< IP address and port that callers connect to.
    std::string peerAddress; ///< IP address and port that other daemons connect to.
    std::string dataCentre;
    bool leaving = false; ///< Once set, stays set for the rest of the incarnation.
    std::uint64_t configurationNumber = 0; ///< The configuration number that the daemon has in force.
    std::uint32_t configurationEra = 0; ///< The era of `configurationNumber`; 0 if the store states none.
    std::uint32_t capacity = 0; ///< Processor share in thousandths of a core; 0 if unknown.
    bool overloaded = false; ///< Requests wait for the daemon's processor. Belongs to `heartbeat`.
    bool operator==(const member_record &) const = default;

    [[nodiscard]] configuration_number configuration() const
    {
        return {configurationEra, configurationNumber};
    }
};
} // namespace Membership
