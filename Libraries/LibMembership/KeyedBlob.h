#pragma once

#include <string>

namespace Membership
{
/// Opaque state of another library that gossip messages carry. That library merges it by a join.
struct keyed_blob {
    std::string key;
    std::string value;
    bool operator==(const keyed_blob &) const = default;
};
} // namespace Membership
