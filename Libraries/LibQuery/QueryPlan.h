#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/Time.h"
#include "LibQuery/PlannedShard.h"

#include <set>
#include <string>
#include <vector>

namespace Query
{
/// Everything that is fixed when a query starts: its pinned snapshot and version, its shards and its deadline.
struct query_plan {
    std::string requestId;
    std::string service;
    std::string route;
    std::string team;
    std::string snapshot;
    std::string version; ///< The query uses replicas of this version only; empty: any.
    std::vector<planned_shard> shards;
    std::set<std::string> dataCentres; ///< Allowed data centres; empty: all.
    Core::time_point deadline;
    double minimumCoverage = 0.0;
    Configuration::priority_class priority = Configuration::priority_class::Ordinary;
    bool idempotent = true;
    bool restarted = false; ///< Set on a restarted query; it is not restarted again.
    bool ownReplicasOnly = false; ///< Set on a branch, which never forwards requests to another daemon.
};
} // namespace Query
