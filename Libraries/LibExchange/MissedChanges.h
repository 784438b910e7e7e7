#pragma once

#include "LibCore/Time.h"
#include "LibExchange/StoreRevision.h"

namespace Exchange
{
/// Detects watches that have fallen silent: the store has changed, and no watch reports it. A call that is made while
/// the store does not respond may be lost without an error, and the connection then looks healthy for as long as the
/// call would wait.
struct missed_changes {
    store_revision awaitedRevision; ///< A revision of the store that the watches had not reached.
    Core::time_point awaitedSince;
    Core::time_point refreshedAt;
};

/// Returns whether to list everything again. `storeRevision` is the store's revision now, `watchedRevision` the highest
/// one that any watch or list has reported.
[[nodiscard]] bool shouldListAgain(missed_changes &state, store_revision storeRevision, store_revision watchedRevision,
                                   Core::time_point now);
} // namespace Exchange
