#pragma once

#include <cstdint>
#include <string>

namespace Membership
{
/// What one daemon says about itself. Records of one VM merge by a join, so that the order of arrival does not matter.
struct member_record {
    std::string name; ///< The VM's name.
    std::uint64_t incarnation = 0; ///< Start time of the daemon in nanoseconds; a higher one replaces a lower one.
    std::uint64_t heartbeat = 0; ///< Grows while the daemon lives.
    std::string callerAddress; ///< IP address and port that callers connect to.
    std::string peerAddress; ///< IP address and port that other daemons connect to.
    std::string dataCentre;
    bool leaving = false; ///< Never taken back within an incarnation.
    std::uint64_t configurationNumber = 0; ///< The number that the daemon has in force.
    bool operator==(const member_record &) const = default;
};
} // namespace Membership
