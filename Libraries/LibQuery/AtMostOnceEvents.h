#pragma once

#include "LibCore/Time.h"
#include "LibQuery/AtMostOnceDecision.h"

#include <cstdint>
#include <string>

namespace Query
{
struct at_most_once_registry;

/// Time after the creation time in its id within which a request may be started. Its entry is kept for as long.
inline constexpr std::chrono::minutes atMostOnceWindow {10};
/// Maximum by which the creation time in an id may be ahead of the daemon's clock.
inline constexpr std::chrono::minutes atMostOnceClockTolerance {2};

/// Decides on a non-idempotent request from a caller. `fingerprint` is a hash of the request and its team. `now` must
/// never decrease during the daemon's incarnation.
[[nodiscard]] at_most_once_decision beginAtMostOnce(at_most_once_registry &registry, const std::string &requestId,
                                                    std::uint64_t fingerprint, Core::wall_time now);

/// Decides on an inquiry of another daemon about a request. A request without an entry is recorded as permanently
/// refused, so that it cannot run if it arrives later; the decision is then NotRun. Never returns Start or
/// `AskNamedDaemon`.
[[nodiscard]] at_most_once_decision resolveAtMostOnce(at_most_once_registry &registry, const std::string &requestId,
                                                      std::uint64_t fingerprint, Core::wall_time now);

/// Records the answer of a request for which `beginAtMostOnce()` returned Start.
void finishAtMostOnce(at_most_once_registry &registry, const std::string &requestId, int status, std::string answer);

/// Removes the entries of requests whose ids are too old to be started. `beginAtMostOnce()` and `resolveAtMostOnce()`
/// call it; the daemon also calls it on a timer.
void removeExpiredRequests(at_most_once_registry &registry, Core::wall_time now);
} // namespace Query
