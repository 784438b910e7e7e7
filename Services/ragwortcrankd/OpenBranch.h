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
    std::unique_ptr<open_span> span; ///< Null: the query is not traced.
};
