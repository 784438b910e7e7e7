#include "LibMembership/Rendezvous.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Membership
{
/// Spreads close inputs over all 64 bits; boost::hash_combine alone leaves nearby names correlated.
static std::uint64_t finalizeHash(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

static std::uint64_t weightOf(std::string_view key, const std::string &member)
{
    std::size_t seed = boost::hash_range(key.begin(), key.end());
    boost::hash_combine(seed, boost::hash_range(member.begin(), member.end()));
    return finalizeHash(seed);
}

std::vector<std::string> ownersOf(std::string_view key, const std::vector<std::string> &members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
    ranked.reserve(members.size());
    for (const std::string &member : members) {
        ranked.emplace_back(weightOf(key, member), &member);
    }
    const std::size_t kept = std::min(count, ranked.size());
    const auto higher = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(), higher);
    std::vector<std::string> owners;
    owners.reserve(kept);
    for (std::size_t index = 0; index < kept; ++index) {
        owners.push_back(*ranked[index].second);
    }
    return owners;
}
} // namespace Membership
