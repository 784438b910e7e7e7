#pragma once

#include "LibCore/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Forward
{
/// Replicas whose registration is missing, each with the time from which it counts as gone.
struct departures {
    Core::duration drainTime {}; ///< Replicas serve on for so long after their registration was removed.
    std::map<std::string, Core::time_point> goneAt;
};

/// Records that a replica's registration is missing. `outageDoubt` is how long that may be the doing of an outage that
/// the store's reader has noticed. One that nobody noticed leaves the same trace, since a watch that waits sees neither
/// its begin nor its end; so every missing replica is doubted until it would have registered again, as far as its drain
/// time allows. Returns the time from which the replica counts as gone.
Core::time_point recordMissing(departures &pending, const std::string &id, Core::duration outageDoubt,
                               Core::time_point now);

/// Records that a replica's registration is there.
void recordPresent(departures &pending, const std::string &id);

/// Takes out the replicas that count as gone by now.
[[nodiscard]] std::vector<std::string> takeGone(departures &pending, Core::time_point now);
} // namespace Forward
