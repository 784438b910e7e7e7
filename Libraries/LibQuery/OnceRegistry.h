#pragma once

#include "LibQuery/OnceEntry.h"

#include <cstddef>
#include <cstdint>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Query
{
/// The non-idempotent requests that one daemon has started or refused. The daemon keeps several, each under its own
/// lock, and picks one by the request id.
struct once_registry {
    std::string virtualMachine; ///< This daemon's own name and life.
    std::uint64_t incarnation = 0;
    std::size_t mostEntries = 50'000; ///< Beyond it new requests are refused: an entry must never be dropped early.
    std::unordered_map<std::string, once_entry> entries; ///< By request id.
    /// Request ids by the time to forget them, the earliest on top.
    std::priority_queue<std::pair<Core::wall_time, std::string>, std::vector<std::pair<Core::wall_time, std::string>>,
                        std::greater<>>
        forgetting;
};
} // namespace Query
