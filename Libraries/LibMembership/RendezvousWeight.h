#pragma once

#include <cstdint>
#include <string_view>

namespace Membership
{
/// Hashes a name to 64 uniformly distributed bits. The result is the same on every daemon.
[[nodiscard]] std::uint64_t hashName(std::string_view name);

/// Returns the weight of a member for a key, both given by their hashes (rendezvous hashing). The member with the
/// highest weight is preferred.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t memberHash);
} // namespace Membership
