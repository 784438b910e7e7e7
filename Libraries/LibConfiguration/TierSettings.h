#pragma once

#include <chrono>
#include <cstdint>

namespace Configuration
{
/// Settings of the query tier as a whole.
struct tier_settings {
    std::uint32_t ownersPerReplica = 0; ///< Daemons that connect to one replica; 0: as many as the limits allow.
    std::uint32_t shardsPerGroup = 16; ///< Shards whose replicas share one set of owners.
    std::chrono::milliseconds entryTimeToLive {10000}; ///< How long callers may keep an answer of /v1/entries.
    double hedgeBudget = 0.05; ///< Extra shard requests by hedges and retries, as part of the first ones.
    double poolCapacity = 0.0; ///< Shard requests per second that the pool bears; 0: not limited by shares.
    bool operator==(const tier_settings &) const = default;
};
} // namespace Configuration
