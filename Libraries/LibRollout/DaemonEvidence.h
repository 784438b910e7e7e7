#pragma once

#include "LibRollout/RouteEvidence.h"

#include <cstdint>
#include <map>

namespace Rollout
{
/// What one daemon's life has seen of a rollout.
struct daemon_evidence {
    std::uint32_t dataCentre = 0; ///< nameKey() of the daemon's data centre.
    std::map<std::uint32_t, route_evidence> routes; ///< By nameKey() of the route.
    bool operator==(const daemon_evidence &) const = default;
};
} // namespace Rollout
