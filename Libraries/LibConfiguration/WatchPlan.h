#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

#include <chrono>
#include <string>
#include <vector>

namespace Configuration
{
struct watch_candidate;
struct watch_state;
struct watch_view;

/// Number of VMs that hold a watch on the store. The other VMs poll it infrequently and receive changes from peers.
constexpr std::size_t targetWatcherCount = 3;
/// Maximum duration of one watch request, which counts as one store call.
constexpr std::chrono::seconds maximumWatchDuration {10};
/// The entire fleet polls once per interval: each VM waits this interval multiplied by the number of live VMs.
constexpr std::chrono::seconds fleetPollInterval {5};
/// Minimum interval between two polls of one VM.
constexpr std::chrono::seconds minimumPollInterval {30};
/// Backoff after the first failed call. It doubles with each consecutive failure.
constexpr std::chrono::milliseconds initialBackoff {500};
/// Maximum backoff of a watcher, or of a VM without a configuration, after failed calls.
constexpr std::chrono::seconds maximumBackoff {10};

/// Ranks live VMs as watchers. `ranked` is in rendezvous order; the first VM of each region moves to the front, so that
/// a partitioned region still has a watcher of its own.
[[nodiscard]] std::vector<watch_candidate> watchOrder(const std::vector<watch_candidate> &ranked);

/// Returns whether a VM holds a watch (true) or only polls (false).
[[nodiscard]] bool holdsWatch(const watch_view &view);

/// Returns the delay before the next call after a successful one. Zero for a watcher, which renews immediately.
[[nodiscard]] Core::duration delayAfterSuccess(watch_state &state, const watch_view &view, Core::random_engine &random);

/// Returns the delay before the next call after a failed one. Jittered to prevent a thundering herd after an outage of
/// the store.
[[nodiscard]] Core::duration delayAfterFailure(watch_state &state, const watch_view &view, Core::random_engine &random);
} // namespace Configuration
