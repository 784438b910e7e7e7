#pragma once

#include "LibCore/Time.h"
#include "LibQuery/ConnectionChoice.h"
#include "LibQuery/ShardTarget.h"

#include <cstddef>
#include <cstdint>

namespace Query
{
/// Effect: send the request for one shard.
struct send_attempt {
    std::uint64_t attempt = 0; ///< Unique within the query.
    std::size_t shard = 0; ///< Index in the plan's shards.
    shard_target target;
    Core::duration timeRemaining {}; ///< Passed on to the other side as its deadline.
    Core::time_point silentAt; ///< Without an answer by then, the daemon reports attempt_failure::ResponseTimeout.
    connection_choice connection = connection_choice::Any;
};
} // namespace Query
