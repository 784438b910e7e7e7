#include "LibMembership/RendezvousWeight.h"

namespace Membership
{
/// The 64-bit finalizer of MurmurHash3: a change of any input bit affects all 64 bits of the result.
static std::uint64_t finalizeHash(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

/// Uses FNV-1a because daemons must compute the same hash, and std::hash and boost::hash may differ between builds.
std::uint64_t hashName(std::string_view name)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : name) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return finalizeHash(hash);
}

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t memberHash)
{
    return finalizeHash(keyHash ^ (memberHash + 0x9e3779b97f4a7c15ULL + (keyHash << 6U) + (keyHash >> 2U)));
}
} // namespace Membership
