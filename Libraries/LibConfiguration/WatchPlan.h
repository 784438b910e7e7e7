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

/// VMs that hold a watch at the store; the others check now and then and learn changes from their peers.
constexpr std::size_t watchersWanted = 3;
/// The longest wait of one watch, which counts as one call.
constexpr std::chrono::seconds longestWatch {10};
/// The fleet as a whole makes one check in this time: each VM waits for it times the number of live VMs.
constexpr std::chrono::seconds checkIntervalOfFleet {5};
/// The shortest time between two checks of one VM.
constexpr std::chrono::seconds shortestCheckInterval {30};
/// The first wait after a failed call; it doubles with each failure in a row.
constexpr std::chrono::milliseconds firstBackoff {500};
/// The longest wait of a watcher, or of a VM without a configuration, after failed calls.
constexpr std::chrono::seconds longestBackoff {10};

/// Orders live VMs for watching. `ranked` comes in rendezvous order; the first of each region goes to the front, so
/// that a region that is cut off still has its own watcher.
[[nodiscard]] std::vector<watch_candidate> watchOrder(const std::vector<watch_candidate> &ranked);

/// Whether a VM holds a watch (true) or only checks (false).
[[nodiscard]] bool holdsWatch(const watch_view &view);

/// Returns how long to wait before the next call after one that succeeded. Zero for a watcher, which renews at once.
[[nodiscard]] Core::duration waitAfterSuccess(watch_state &state, const watch_view &view, Core::random_engine &random);

/// Returns how long to wait before the next call after one that failed. Jittered, so that no stampede follows an
/// outage of the store.
[[nodiscard]] Core::duration waitAfterFailure(watch_state &state, const watch_view &view, Core::random_engine &random);
} // namespace Configuration
