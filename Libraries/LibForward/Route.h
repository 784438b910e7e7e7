#pragma once

#include "LibCore/Time.h"
#include "LibForward/RetryPolicy.h"
#include "LibForward/WeightedService.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Forward
{
/// The handling of requests for one host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    retry_policy retryPolicy = retry_policy::AtMostOnce;
    Core::duration timeout {}; ///< Maximum time until the caller receives a response.
    Core::duration targetLatency {}; ///< Responses are meant to arrive within this time.
    int priority = 0; ///< 0 is the most urgent.
    unsigned attempts = 1; ///< Replicas that a request may be sent to; for each shard on a scatter-gather route.
    std::vector<weighted_service> services; ///< Target services; empty on a scatter-gather route.
    std::vector<std::string> shards; ///< One service for each shard; empty unless the route is scatter-gather.
    std::size_t topRecords = 0; ///< Number of top records in a merged result.
    double minimumCoverage = 1.0; ///< Fraction of the shards, by count, that a merged result needs.
    std::vector<std::string> allowedRegions; ///< Regions whose replicas may be chosen; empty: all.

    [[nodiscard]] bool isScatterGather() const
    {
        return !shards.empty();
    }
};
} // namespace Forward
