#pragma once

#include "LibForward/PartState.h"
#include "LibForward/RequestPlan.h"

#include <cstdint>
#include <vector>

namespace Forward
{
/// A running request.
struct request_state {
    request_plan plan;
    std::vector<part_state> parts;
    std::size_t answeredParts = 0;
    std::size_t openParts = 0;
    std::uint32_t nextAttempt = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    bool mayHaveRun = false; ///< Some attempt ended without proof that it did not run, or still runs.
    bool counted = false; ///< The load limit counts it as running.
    bool finished = false;
};
} // namespace Forward
