#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Forward
{
struct route;
struct traffic_configuration;

/// The parameters of a request that are fixed when it starts.
struct request_plan {
    std::shared_ptr<const traffic_configuration> configuration; ///< The request uses this version until it ends.
    const route *matched = nullptr; ///< The matched route, owned by the configuration.
    std::vector<std::size_t> services; ///< Service indices: one for each shard, or a single one.
    std::size_t requiredSubrequests = 1; ///< Minimum number of services that have to answer.
    Core::time_point receivedAt;
    Core::duration callerElapsedTime {}; ///< Time that the caller has already spent on earlier attempts.
    /// From then on a response with sufficient coverage is sent without waiting for the remaining shards.
    Core::time_point partialResponseDeadline;
    Core::time_point callerDeadline; ///< Deadline for any response to the caller.
};
} // namespace Forward
