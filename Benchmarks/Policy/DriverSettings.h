#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Bench
{
/// What the driver's daemons are and how they choose.
struct driver_settings {
    std::size_t daemons = 9;
    std::uint64_t seed = 1;
    Core::duration oneWayDelay {std::chrono::microseconds(200)}; ///< Within one data centre.
    Core::duration farOneWayDelay {std::chrono::microseconds(200)}; ///< Between data centres.
    Core::duration connectionCost {std::chrono::milliseconds(1)};
    Core::duration deadline {std::chrono::seconds(1)};
    double minimumCoverage = 0.0;
    double alertPart = 0.0; ///< Part of the queries that are alerts; the others are ordinary.
    bool idempotent = true;
    bool warmsUp = true; ///< False is the baseline in which cold replicas get no copies of requests.
    bool remembersReplicas = true; ///< False is the baseline of a random replica: each query starts knowing nothing.
};
} // namespace Bench
