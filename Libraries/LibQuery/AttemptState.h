#pragma once

#include "LibCore/Time.h"
#include "LibQuery/ShardTarget.h"

#include <cstdint>

namespace Query
{
/// One attempt that was sent and has not ended.
struct attempt_state {
    std::uint64_t id = 0;
    shard_target target;
    Core::time_point sentAt;
};
} // namespace Query
