#pragma once

#include <string>

namespace Membership
{
/// Opaque state of another package that travels with gossip. Its owner merges it by a join.
struct keyed_blob {
    std::string key;
    std::string value;
    bool operator==(const keyed_blob &) const = default;
};
} // namespace Membership
