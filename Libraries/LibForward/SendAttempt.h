#pragma once

#include "LibForward/AttemptKind.h"
#include "LibForward/ReplicaKey.h"

#include <cstddef>
#include <cstdint>

namespace Forward
{
/// Instructs the daemon to send the request to a replica.
struct send_attempt {
    std::uint32_t attempt = 0;
    std::size_t subrequest = 0;
    replica_key replica;
    attempt_kind kind = attempt_kind::First;
};
} // namespace Forward
