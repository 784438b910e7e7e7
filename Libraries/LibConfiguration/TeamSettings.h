#pragma once

#include <set>
#include <string>

namespace Configuration
{
/// One team: its key, its share of the pool, and where it may run.
struct team_settings {
    std::string keyHash; ///< Lower-case hexadecimal SHA-256 of the team's key; the key itself is never stored.
    double share = 0.0; ///< Part of the pool's capacity, 0 to 1; all teams together at most 1.
    std::set<std::string> dataCentres; ///< Data centres whose replicas may serve the team; empty: all.
    std::set<std::string> services; ///< Services that the team may query; empty: all.
    bool operator==(const team_settings &) const = default;
};
} // namespace Configuration
