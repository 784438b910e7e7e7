#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Backend
{
/// What this daemon knows of a peer as a branch of one service's queries.
struct peer_state {
    std::uint32_t inFlight = 0; ///< Shards that the peer is asking for this daemon.
    std::uint32_t consecutiveFailures = 0;
    Core::time_point avoidUntil; ///< Chosen only if no other owner can serve, until then.
};
} // namespace Backend
