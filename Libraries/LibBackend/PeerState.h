#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Backend
{
/// This daemon's view of a peer as a branch of one service's queries.
struct peer_state {
    std::uint32_t inFlight = 0; ///< Shards that the peer is currently querying on behalf of this daemon.
    std::uint32_t consecutiveFailures = 0;
    Core::time_point avoidUntil; ///< Until then, chosen only if no other owner can serve.
};
} // namespace Backend
