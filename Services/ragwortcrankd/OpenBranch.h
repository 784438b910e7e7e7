#pragma once

#include "OpenSpan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// A branch that another daemon runs on behalf of a query of this daemon.
struct open_branch {
    std::uint64_t query = 0;
    std::uint64_t call = 0; ///< The number of the call in the peer network.
    std::map<std::string, std::uint64_t> attempts; ///< Attempts that have not ended, by shard name.
    /// Number of requests that the query counts for this branch: one per shard until the branch has reported.
    std::uint32_t countedRequests = 0;
    bool hasReported = false; ///< Whether the branch has reported how many requests it sent.
    std::unique_ptr<open_span> span; ///< Null: the query is not traced.
};
