#pragma once

#include "LibRollout/RouteEvidence.h"

#include <cstdint>
#include <map>

namespace Rollout
{
/// The evidence on a rollout that one incarnation of a daemon has collected.
struct daemon_evidence {
    std::uint32_t dataCentre = 0; ///< `nameKey()` of the daemon's data centre.
    std::map<std::uint32_t, route_evidence> routes; ///< By `nameKey()` of the route.
    bool operator==(const daemon_evidence &) const = default;
};
} // namespace Rollout
