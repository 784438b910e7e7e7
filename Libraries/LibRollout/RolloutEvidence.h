#pragma once

#include "LibRollout/DaemonEvidence.h"

#include <cstdint>
#include <map>

namespace Rollout
{
/// The evidence on one rollout of all daemons. Merged by a semilattice join: the maximum of each count.
struct rollout_evidence {
    bool bad = false; ///< Verdict that the new version is failing; never reset.
    std::map<std::uint64_t, daemon_evidence> daemons; ///< By incarnation; at most `maximumDaemonRows`.
    bool operator==(const rollout_evidence &) const = default;
};
} // namespace Rollout
