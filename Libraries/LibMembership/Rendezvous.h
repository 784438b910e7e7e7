#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Membership
{
/// Returns the `count` members that own a key, the first owner first. Each member's place depends only on its own
/// name and the key, so a member that comes or goes moves no other key between the members that stay.
[[nodiscard]] std::vector<std::string> ownersOf(std::string_view key, const std::vector<std::string> &members,
                                                std::size_t count);
} // namespace Membership
