#pragma once

#include "LibConfiguration/ReplicaSettings.h"
#include "LibConfiguration/RolloutSettings.h"
#include "LibConfiguration/RouteSettings.h"
#include "LibConfiguration/SnapshotSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Configuration
{
/// One service: its routes, index snapshots, replicas and versions.
struct service_settings {
    std::map<std::string, route_settings> routes;
    std::map<std::string, snapshot_settings> snapshots;
    std::string currentSnapshot; ///< The snapshot that new queries are pinned to.
    std::map<std::string, replica_settings> replicas; ///< By replica name, which is unique within the service.
    std::string version; ///< The version that receives all traffic outside a rollout.
    std::optional<rollout_settings> rollout;
    std::optional<rollout_settings> lastRollout; ///< The previous rollout; kept by the system when removed or replaced.
    std::uint32_t slotsPerReplica = 2; ///< Requests that a replica executes concurrently.
    std::uint32_t connectionLimit = 25; ///< Connections that a replica accepts from all daemons in total.
    std::uint32_t coldSlots = 1; ///< Concurrent requests to a replica in slow start, over all daemons.
    std::uint32_t batchLimit = 1; ///< Requests that a backend server accepts in one message; 1 disables batching.
    bool operator==(const service_settings &) const = default;
};
} // namespace Configuration
