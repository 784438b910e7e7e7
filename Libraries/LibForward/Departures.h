#pragma once

#include "LibCore/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Forward
{
/// Replicas whose registration is missing, each with the time from which it counts as gone.
struct departures {
    std::map<std::string, Core::time_point> goneAt;
};

/// Records that a replica's registration is missing. `doubt` is how long that may be the store's doing: a replica that
/// lives registers again by then. Returns the time from which the replica counts as gone.
Core::time_point recordMissing(departures &pending, const std::string &id, Core::duration doubt, Core::time_point now);

/// Records that a replica's registration is there.
void recordPresent(departures &pending, const std::string &id);

/// Takes out the replicas that count as gone by now.
[[nodiscard]] std::vector<std::string> takeGone(departures &pending, Core::time_point now);
} // namespace Forward
