#pragma once

#include <string>

namespace Forward
{
/// A replica's complete result for one shard.
struct partial_result {
    std::string digest; ///< Proves that the replica processed this request; forwarded to the caller.
    std::string records; ///< Fixed-size records in no particular order.
};
} // namespace Forward
