#pragma once

#include "LibCore/Time.h"
#include "LibTeams/UsageInstance.h"
#include "LibTeams/UsageMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Teams
{
/// Epochs begin at whole multiples of this in civil time. A fresh epoch forgets what lost daemons had put in.
inline constexpr std::chrono::seconds usageEpochLength {4};
/// An epoch's sums are used from this age on; until then the epoch before is used.
inline constexpr std::chrono::seconds usageEpochWarmUp {2};

/// Two daemons exchange messages at least this far apart.
inline constexpr std::chrono::milliseconds shortestUsageInterval {125};

/// This daemon's side of the exchange of usage with its peers.
struct usage_exchange {
    std::map<std::uint32_t, team_rates> local; ///< This daemon's latest rates by teamKey().
    std::map<std::uint32_t, usage_instance> instances; ///< By epoch; at most the current one and its neighbours.
};

/// Replaces this daemon's rates, begins a new epoch when it is time, and drops epochs that are over.
void updateUsage(usage_exchange &exchange, const std::map<std::uint32_t, team_rates> &local, Core::wall_time now);

/// Halves what this daemon holds and returns the other half, to be handed to one peer. A message that is lost or comes
/// twice takes or brings sums and weight alike, which leaves the means as they were.
[[nodiscard]] usage_message splitUsage(usage_exchange &exchange);

/// Returns the time from one exchange to the next, at which messages of this size stay within the bytes that the
/// exchange may take.
[[nodiscard]] Core::duration usageInterval(std::size_t messageBytes);

/// Adds what a peer handed over. Epochs that are neither current nor next to it are ignored.
void mergeUsage(usage_exchange &exchange, const usage_message &message, Core::wall_time now);

/// Returns the estimated rates of all daemons together, never less than this daemon's own.
[[nodiscard]] std::map<std::uint32_t, team_rates> totalUsage(const usage_exchange &exchange, std::uint32_t liveDaemons,
                                                             Core::wall_time now);
} // namespace Teams
