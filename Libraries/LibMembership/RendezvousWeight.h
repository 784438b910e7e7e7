#pragma once

#include <cstdint>
#include <string_view>

namespace Membership
{
/// Hashes a name to 64 well spread bits, the same on every daemon.
[[nodiscard]] std::uint64_t hashName(std::string_view name);

/// The weight of a member for a key, both given by their hashes; the member with the highest weight comes first.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t memberHash);
} // namespace Membership
