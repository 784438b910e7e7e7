#include "LibForward/ReplicaNotices.h"

#include "LibForward/ReplicaTable.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <utility>

namespace Forward
{
using namespace std::chrono_literals;

/// Bounds the delay by which the daemons return at different times.
static constexpr double returnSpreadFraction = 0.2; ///< Of the stated time.
static constexpr Core::duration maximumReturnSpread = 500ms;
/// Longer times are cut, so that no time point overflows.
static constexpr Core::duration maximumRetryAfter = std::chrono::hours(24 * 365);

bool recordShutdownNotice(replica_state &replica)
{
    return !std::exchange(replica.shuttingDown, true);
}

bool recordRetryAfter(const replica_table &replicaTable, replica_state &replica, Core::duration period,
                      Core::time_point now)
{
    if (period <= Core::duration {}) {
        return false;
    }
    const Core::duration bounded = std::min(period, maximumRetryAfter);
    const auto longestSpread =
        std::min(std::chrono::duration_cast<Core::duration>(bounded * returnSpreadFraction), maximumReturnSpread);
    const std::uint64_t key = Membership::hashName(replica.registration.id);
    constexpr std::uint64_t steps = 1024;
    const double place = static_cast<double>(Membership::rendezvousWeight(key, replicaTable.ownHash) % steps) / steps;
    const Core::time_point until = now + bounded + std::chrono::duration_cast<Core::duration>(longestSpread * place);
    const bool isExtended = until > replica.quietUntil;
    replica.quietUntil = std::max(replica.quietUntil, until);
    return isExtended;
}
} // namespace Forward
