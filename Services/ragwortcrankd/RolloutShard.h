#pragma once

#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RolloutEvidence.h"

#include <cstdint>
#include <mutex>

/// One service's rollout at this daemon, under its own lock.
struct rollout_shard {
    std::mutex mutex;
    std::uint64_t number = 0; ///< The rollout's number; 0: none yet. All members are guarded by mutex.
    Rollout::own_evidence own;
    Rollout::rollout_evidence held; ///< Of all daemons.
    double share = 0.0; ///< The new version's share of traffic now.
    std::uint64_t lastSentRow = 0; ///< See Rollout::encodeEvidence().
};
