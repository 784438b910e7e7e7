#pragma once

#include "LibCore/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Forward
{
/// Replicas whose registration is missing. Their removal is suspected until the time stored for each of them.
struct suspected_removals {
    Core::duration drainTime {}; ///< How long replicas keep serving after they remove their registration.
    std::map<std::string, Core::time_point> removedAt;
};

/// Records that a replica's registration is missing. `outageGracePeriod` is how long the cause may be a store outage
/// that the store's reader has detected. An undetected outage looks the same, since a pending watch sees neither its
/// start nor its end. A missing replica is therefore kept until it would have registered again, as far as its drain
/// time allows. Returns the time from which the replica counts as removed.
/// `learnedAt` is when the first daemon learned of it: the time is the same at all daemons, however late they learn.
Core::time_point recordMissing(suspected_removals &pending, const std::string &id, Core::duration outageGracePeriod,
                               Core::time_point learnedAt);

/// Records that a replica's registration is present, which clears the suspected removal.
void recordPresent(suspected_removals &pending, const std::string &id);

/// Extracts the replicas that count as removed at `now`.
[[nodiscard]] std::vector<std::string> takeRemoved(suspected_removals &pending, Core::time_point now);
} // namespace Forward
