#pragma once

#include "LibQuery/AttemptState.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Query
{
/// The progress of one shard of a query.
struct shard_state {
    bool answered = false;
    bool mayHaveRun = false; ///< Some attempt ended without proof that it did not run.
    std::uint32_t attemptsSent = 0;
    std::vector<attempt_state> running;
    std::vector<std::size_t> triedReplicas;
};
} // namespace Query
