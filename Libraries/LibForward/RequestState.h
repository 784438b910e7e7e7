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
    std::vector<subrequest_state> subrequests;
    std::size_t answeredSubrequests = 0;
    std::size_t openSubrequests = 0;
    std::uint32_t nextAttempt = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    bool mayHaveRun = false; ///< Some attempt may have executed the request, or is still running.
    bool countedByLimit = false; ///< Counted as running by the concurrency limit.
    bool finished = false;
};
} // namespace Forward
