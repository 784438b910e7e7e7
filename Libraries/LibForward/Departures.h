#pragma once

#include "LibCore/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Forward
{
/// Replicas whose registration is missing, each with the time from which it counts as gone. Registrations can lapse
/// while the store is away although their replicas live; those come back soon after the store does.
struct departures {
    std::map<std::string, Core::time_point> goneAt;
    Core::time_point storeDoubtedUntil; ///< Until then a missing registration may be the store's doing.
};

/// Records that the store was unreachable or dropped its history.
void doubtStore(departures &pending, Core::time_point now);

/// Records that a replica's registration is missing.
void recordMissing(departures &pending, const std::string &id, Core::time_point now);

/// Records that a replica's registration is there.
void recordPresent(departures &pending, const std::string &id);

/// Takes out the replicas that count as gone by now.
[[nodiscard]] std::vector<std::string> takeGone(departures &pending, Core::time_point now);
} // namespace Forward
