#pragma once

#include <chrono>
#include <cstdint>

namespace Configuration
{
/// Settings that apply to the entire query tier.
struct tier_settings {
    std::uint32_t ownersPerReplica = 0; ///< Daemons that connect to one replica; 0 for as many as the limits allow.
    std::uint32_t shardsPerGroup = 16; ///< Shards whose replicas share one set of owners.
    std::chrono::milliseconds entryTimeToLive {10000}; ///< How long callers may cache a response of /v1/entries.
    double hedgeBudget = 0.05; ///< Hedges and retries as a fraction of initial shard requests.
    double poolCapacity = 0.0; ///< Shard requests per second that the pool sustains; 0 disables share limits.
    bool operator==(const tier_settings &) const = default;
};
} // namespace Configuration
