#pragma once

#include <cstdint>
#include <string>

/// The version chosen for one query, and how it was chosen.
struct version_choice {
    std::string version; ///< Empty: any.
    std::uint64_t rollout = 0; ///< Number of the rollout; 0: the query is no evidence for a rollout.
    bool isNew = false;
    double newShare = 0.0; ///< Traffic share of the new version when the query was assigned.
};
