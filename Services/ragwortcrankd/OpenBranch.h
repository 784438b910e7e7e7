#pragma once

#include "OpenSpan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// A branch that another daemon runs for a query of this one.
struct open_branch {
    std::uint64_t query = 0;
    std::uint64_t call = 0; ///< The peer network's number.
    std::map<std::string, std::uint64_t> attempts; ///< Attempts that have not ended, by shard name.
    std::uint32_t countedRequests = 0; ///< What the query counts for it: one a shard until the branch has reported.
    bool hasReported = false; ///< Whether the branch has told how many requests it sent.
    std::unique_ptr<open_span> span; ///< Null: the query is not traced.
};
