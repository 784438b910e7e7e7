#pragma once

#include <cstdint>
#include <string>

/// The version that one query uses, and how it was drawn.
struct version_choice {
    std::string version; ///< Empty: any.
    std::uint64_t rollout = 0; ///< The rollout's number; 0: the choice tells nothing of a rollout.
    bool isNew = false;
    double newShare = 0.0; ///< The new version's share when the query was drawn.
};
