#pragma once

#include <cstddef>
#include <tuple>

namespace Forward
{
/// Identifies a replica by its indices in the replica table.
struct replica_key {
    std::size_t service = 0;
    std::size_t replica = 0;
    bool operator==(const replica_key &) const = default;
    bool operator<(const replica_key &other) const
    {
        return std::tie(service, replica) < std::tie(other.service, other.replica);
    }
};
} // namespace Forward
