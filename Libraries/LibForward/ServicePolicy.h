#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Forward
{
/// Configuration that applies to all replicas of a service.
struct service_policy {
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 1; ///< Connections that a replica accepts in total.
    Core::duration slowStartDuration {};
    double coldRequestsPerSecond = 0.0; ///< Limit for a replica in slow start over all daemons; 0: unlimited.
};
} // namespace Forward
