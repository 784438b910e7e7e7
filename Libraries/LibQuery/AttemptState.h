#pragma once

#include "LibCore/Time.h"
#include "LibQuery/ShardTarget.h"

#include <cstdint>

namespace Query
{
/// An attempt in flight.
struct attempt_state {
    std::uint64_t id = 0; ///< Encodes the shard's index, so that an answer is mapped to its shard without a search.
    shard_target target;
    Core::time_point sentAt;
};
} // namespace Query
