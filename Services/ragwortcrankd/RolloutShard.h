#pragma once

#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RolloutEvidence.h"

#include <cstdint>
#include <mutex>

/// The state of one service's rollout at this daemon, with its own lock.
struct rollout_shard {
    std::mutex mutex;
    std::uint64_t number = 0; ///< Number of the rollout; 0: none yet. All members are guarded by mutex.
    Rollout::own_evidence own;
    Rollout::rollout_evidence fleetEvidence; ///< Merged from all daemons.
    double share = 0.0; ///< Current fraction of traffic that goes to the new version.
    std::uint64_t lastSentRow = 0; ///< See Rollout::encodeEvidence().
};
