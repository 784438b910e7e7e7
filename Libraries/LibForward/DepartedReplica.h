#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace Forward
{
/// What a removed replica had asked of this daemon. It holds on if the same start of the replica is registered again,
/// as after an outage of the store.
struct departed_replica {
    std::int64_t startedAt = 0; ///< As in its registration.
    bool shuttingDown = false;
    std::optional<Core::time_point> leavesAt;
    Core::time_point quietUntil;
};
} // namespace Forward
