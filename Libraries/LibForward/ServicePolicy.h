#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Forward
{
/// What the configuration says of all replicas of a service.
struct service_policy {
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 1; ///< Connections that a replica accepts from all callers together.
    Core::duration coldTime {}; ///< How long a replica stays cold after its start.
    double coldRequestsPerSecond = 0.0; ///< What a cold replica bears over all daemons; 0: no bound stated.
};
} // namespace Forward
