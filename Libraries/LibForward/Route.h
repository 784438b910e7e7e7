#pragma once

#include "LibCore/Time.h"
#include "LibForward/RepeatPolicy.h"
#include "LibForward/WeightedService.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Forward
{
/// How requests for one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    repeat_policy repeat = repeat_policy::AtMostOnce;
    Core::duration timeout {}; ///< The longest that a caller is kept waiting.
    Core::duration targetLatency {}; ///< An answer within it has its full value.
    int priority = 0; ///< 0 is the most urgent.
    unsigned attempts = 1; ///< Replicas that one request may be sent to; on a gathering route, for each shard.
    std::vector<weighted_service> services; ///< Where single requests go; empty on a gathering route.
    std::vector<std::string> shards; ///< The services that each hold one shard; empty unless the route gathers.
    std::size_t topRecords = 0; ///< How many of the greatest records a gathered answer holds.
    double minimumCoverage = 1.0; ///< Part of the shards, by count, that a gathered answer needs.
    std::vector<std::string> allowedRegions; ///< Regions whose replicas may serve; empty: all.

    [[nodiscard]] bool gathers() const
    {
        return !shards.empty();
    }
};
} // namespace Forward
