#pragma once

#include "LibCore/Time.h"
#include "LibQuery/ShardTarget.h"

#include <cstdint>

namespace Query
{
/// Effect: ask the target to stop an attempt whose answer is no longer needed. The attempt's call still runs to
/// completion. The daemon reports its end once through `onCancelledAttemptEnded()`, even if the query has finished by
/// then.
struct cancel_attempt {
    std::uint64_t attempt = 0;
    shard_target target;
    Core::time_point cancelledAt;
};
} // namespace Query
