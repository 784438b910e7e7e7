#pragma once

#include <compare>
#include <cstddef>

namespace Forward
{
/// Names a replica by its places in the replica book.
struct replica_key {
    std::size_t service = 0;
    std::size_t replica = 0;
    auto operator<=>(const replica_key &) const = default;
};
} // namespace Forward
