#include "LibExchange/MissedChanges.h"

namespace Exchange
{
using namespace std::chrono_literals;

/// Watches report changes within some hundred milliseconds, since they are asked for several at once.
static constexpr Core::duration reportTime = 900ms;
/// Objects of kinds that are not watched change the store's revision as well.
static constexpr Core::duration minimumListInterval = 5s;

bool shouldListAgain(missed_changes &state, store_revision storeRevision, store_revision watchedRevision,
                     Core::time_point now)
{
    if (watchedRevision >= state.awaitedRevision) {
        state.awaitedRevision = storeRevision;
        state.awaitedSince = now;
    }
    const bool isOverdue = watchedRevision < state.awaitedRevision && now - state.awaitedSince >= reportTime;
    if (!isOverdue || now - state.refreshedAt < minimumListInterval) {
        return false;
    }
    state.refreshedAt = now;
    return true;
}
} // namespace Exchange
