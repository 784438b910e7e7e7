#pragma once

#include "LibForward/RequestPlan.h"
#include "LibForward/SubrequestState.h"

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
    bool mayHaveRun = false; ///< Some attempt may have executed the request, or is still running.
    bool counted = false; ///< Counted as running by the load limit.
    bool finished = false;
};
} // namespace Forward
