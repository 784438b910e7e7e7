#pragma once

#include <string>

namespace Forward
{
/// A replica's whole answer for one shard.
struct part_answer {
    std::string digest; ///< Proves that the replica answered this request; handed on to the caller.
    std::string records; ///< Fixed-size records in any order.
};
} // namespace Forward
