#pragma once

#include <set>
#include <string>

namespace Configuration
{
/// One team: its key, its share of the pool's capacity, and the data centres and services that it may use.
struct team_settings {
    std::string keyHash; ///< Lower-case hexadecimal SHA-256 of the team's key; the key itself is never stored.
    double share = 0.0; ///< Fraction of the pool's capacity, 0 to 1; the sum over all teams is at most 1.
    std::set<std::string> dataCentres; ///< Data centres whose replicas may serve the team; empty means all.
    std::set<std::string> services; ///< Services that the team may query; empty means all.
    bool operator==(const team_settings &) const = default;
};
} // namespace Configuration
