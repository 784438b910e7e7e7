#pragma once

#include "LibQuery/Outcome.h"
#include "LibQuery/ResultItem.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Query
{
/// The result of a query as sent to the caller.
struct query_result {
    std::string requestId;
    outcome result = outcome::NotRun;
    std::string snapshot;
    double coverage = 0.0; ///< Weight of the answered shards as a fraction of the snapshot's total weight.
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    /// Requests sent to backend servers, including those of branches; for the accounts.
    std::uint32_t shardRequests = 0;
    std::uint32_t errorAnswers = 0; ///< Attempts that ended with an error answer.
    std::vector<result_item> items; ///< Best first.
    std::string reason; ///< Why the query was refused or is incomplete; empty if it is complete.
};
} // namespace Query
