#pragma once

#include "LibCore/Time.h"
#include "Policy/FaultTime.h"
#include "Policy/VersionFault.h"

#include <cstddef>
#include <cstdint>

namespace Bench
{
/// One rollout to run.
struct rollout_case {
    version_fault fault = version_fault::None;
    fault_time when = fault_time::AtOnce;
    std::uint64_t seed = 1;
    Core::duration length {std::chrono::seconds(300)};
    Core::duration exchangeInterval {std::chrono::milliseconds(250)};
    double queriesPerSecond = 200.0;
    std::size_t daemonCount = 9;
    bool troubles = false; ///< A general slow-down and a bad data centre, at random times, for both versions.
    bool judges = true; ///< False is the baseline: the share grows with time alone.
};
} // namespace Bench
