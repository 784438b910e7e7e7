#pragma once

#include <string>
#include <vector>

namespace Processes
{
/// The size of a test fleet.
struct fleet_options {
    int daemons = 3;
    int shards = 4;
    int replicasPerShard = 3; ///< One in each data centre.
    int ownersPerReplica = 0;
    std::vector<std::string> daemonFlags; ///< Further flags for every daemon.
};
} // namespace Processes
