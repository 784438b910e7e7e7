#pragma once

#include "LibQuery/AtMostOnceEntry.h"

#include <cstddef>
#include <cstdint>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Query
{
/// The non-idempotent requests that one daemon has started or refused. The daemon partitions its requests by id over
/// several registries, each under its own lock.
struct at_most_once_registry {
    std::string virtualMachine; ///< Name of the VM of this daemon.
    std::uint64_t incarnation = 0; ///< Incarnation of this daemon.
    /// Further requests are refused, since an entry must not be removed before it expires.
    std::size_t maximumEntries = 50'000;
    std::unordered_map<std::string, at_most_once_entry> entries; ///< By request id.
    /// Request ids by expiry time, earliest on top.
    std::priority_queue<std::pair<Core::wall_time, std::string>, std::vector<std::pair<Core::wall_time, std::string>>,
                        std::greater<>>
        expiryQueue;
};
} // namespace Query
