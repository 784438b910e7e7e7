#pragma once

#include "LibQuery/Outcome.h"
#include "LibQuery/ResultItem.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Query
{
/// What the caller is told.
struct query_result {
    std::string requestId;
    outcome result = outcome::NotRun;
    std::string snapshot;
    double coverage = 0.0; ///< Weight of the shards answered, as part of the snapshot's whole weight.
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    std::uint32_t shardRequests = 0; ///< Requests sent to backend servers, by branches too, for the accounts.
    std::uint32_t faultyAttempts = 0; ///< Attempts that ended with an error answer.
    std::vector<result_item> items; ///< Best first.
    std::string reason; ///< Why the query was refused or is incomplete; empty: it is whole.
};
} // namespace Query
