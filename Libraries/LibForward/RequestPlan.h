#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Forward
{
struct route;
struct traffic_configuration;

/// Everything that is fixed when a request starts.
struct request_plan {
    std::shared_ptr<const traffic_configuration> configuration; ///< Pinned: the request uses no other version.
    const route *matched = nullptr; ///< Lives in the configuration.
    std::vector<std::size_t> services; ///< Places in the replica book: one a shard, or the one service.
    std::size_t neededParts = 1; ///< Parts without which there is no answer.
    Core::time_point receivedAt;
    Core::duration callerWaited {}; ///< How long the caller has waited before, at earlier attempts.
    Core::time_point answerBy; ///< From then on an answer with enough parts is not held for the missing ones.
    Core::time_point giveUpAt; ///< The caller waits no longer.
};
} // namespace Forward
