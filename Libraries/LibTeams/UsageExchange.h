#pragma once

#include "LibCore/Time.h"
#include "LibTeams/UsageInstance.h"
#include "LibTeams/UsageMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Teams
{
/// Epochs start at multiples of this length in civil time. A new epoch drops the contributions of lost daemons.
inline constexpr std::chrono::seconds usageEpochLength {4};
/// Age from which the sums of an epoch are used; until then those of the previous epoch are used.
inline constexpr std::chrono::seconds usageEpochConvergenceTime {2};

/// Minimum interval between the exchanges of a daemon.
inline constexpr std::chrono::milliseconds minimumUsageInterval {125};

/// This daemon's state of the usage exchange with its peers (push-sum gossip).
struct usage_exchange {
    std::map<std::uint32_t, team_rates> local; ///< This daemon's latest rates by teamKey().
    std::map<std::uint32_t, usage_instance> instances; ///< By epoch; at most the current, previous and next one.
};

/// Replaces this daemon's rates, starts a new epoch when it is due, and drops expired epochs.
void updateUsage(usage_exchange &exchange, const std::map<std::uint32_t, team_rates> &local, Core::wall_time now);

/// Halves the sums and weights of this daemon and returns the other half as a message to one peer. The loss or
/// duplication of a message changes sums and weight in proportion, so the means remain correct.
[[nodiscard]] usage_message splitUsage(usage_exchange &exchange);

/// Returns the interval between exchanges at which messages of this size stay within the bandwidth limit of the
/// exchange.
[[nodiscard]] Core::duration usageInterval(std::size_t messageBytes);

/// Adds the sums that a peer sent. Ignores epochs other than the current, previous and next one.
void mergeUsage(usage_exchange &exchange, const usage_message &message, Core::wall_time now);

/// Returns the estimated rates summed over all daemons, by teamKey(); never less than this daemon's own rates.
[[nodiscard]] std::map<std::uint32_t, team_rates> totalUsage(const usage_exchange &exchange, std::uint32_t liveDaemons,
                                                             Core::wall_time now);
} // namespace Teams
