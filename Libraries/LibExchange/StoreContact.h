#pragma once

#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <string>

namespace Exchange
{
/// Whether the store answers this daemon's watches.
struct store_contact {
    /// By kind, since the first failure of its watch after the latest answer to it. Only an answer to the same kind
    /// ends it, also if the daemon does not watch the store in between.
    std::map<std::string, Core::time_point> failingSince;
    std::optional<Core::time_point> silentSince; ///< Since a probe was not answered; null: the latest one was.
    Core::time_point watchingSince; ///< When the daemon began to watch the store this time.
};

void recordStoreAnswer(store_contact &contact, const std::string &kind);

/// Returns whether the kind has not been failing before.
bool recordStoreFailure(store_contact &contact, const std::string &kind, Core::time_point now);

/// Records whether the store has answered a probe. A pending watch does not show that the store has fallen silent.
void recordProbe(store_contact &contact, bool isAnswered, Core::time_point now);

/// Returns for how long the store has failed since the daemon began to watch it this time.
[[nodiscard]] Core::duration unreachableFor(const store_contact &contact, Core::time_point now);

/// Whether a daemon that watches the store may relay its updates. A store that answers again at once has only closed
/// the watches. After a longer failure the daemon must hear from the store first: otherwise its followers would wait
/// for a daemon that knows no more than they do.
[[nodiscard]] bool canRelayUpdates(const store_contact &contact, Core::time_point now);

/// Returns when `canRelayUpdates` must be checked again after a failure.
[[nodiscard]] Core::time_point relayCheckTime(Core::time_point failedAt);
} // namespace Exchange
