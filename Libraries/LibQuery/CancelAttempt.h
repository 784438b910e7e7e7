#pragma once

#include "LibCore/Time.h"
#include "LibQuery/ShardTarget.h"

#include <cstdint>

namespace Query
{
/// Effect: ask the other side to stop an attempt whose answer is no longer wanted. The attempt's call runs on to its
/// end, which the daemon reports by onCancelledEnd(), once, also after the query itself has finished.
struct cancel_attempt {
    std::uint64_t attempt = 0;
    shard_target target;
    Core::time_point cancelledAt;
};
} // namespace Query
