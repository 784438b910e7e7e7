#pragma once

#include "LibRollout/DaemonEvidence.h"

#include <cstdint>
#include <map>

namespace Rollout
{
/// What is known of one rollout, from all daemons. Two of them merge by a join.
struct rollout_evidence {
    bool bad = false; ///< Once true it stays true.
    std::map<std::uint64_t, daemon_evidence> daemons; ///< By incarnation; at most mostDaemons.
    bool operator==(const rollout_evidence &) const = default;
};
} // namespace Rollout
