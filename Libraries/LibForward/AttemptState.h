#pragma once

#include "LibCore/Time.h"
#include "LibForward/AttemptKind.h"
#include "LibForward/ReplicaKey.h"

#include <cstdint>

namespace Forward
{
/// An attempt that has been sent and has not ended.
struct attempt_state {
    std::uint32_t id = 0; ///< Unique within the request.
    replica_key replica;
    Core::time_point sentAt;
    attempt_kind kind = attempt_kind::First;
};
} // namespace Forward
