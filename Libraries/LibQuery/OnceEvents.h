#pragma once

#include "LibCore/Time.h"
#include "LibQuery/OnceDecision.h"

#include <cstdint>
#include <string>

namespace Query
{
struct once_registry;

/// How long after the time in its id a request may be started and is remembered.
inline constexpr std::chrono::minutes onceWindow {10};
/// How far the time in an id may lie ahead of the daemon's clock.
inline constexpr std::chrono::minutes onceClockTolerance {2};

/// Decides on a non-idempotent request that a caller sent. `fingerprint` is a hash of what is asked and by whom.
/// `now` must never go back during the daemon's life.
[[nodiscard]] once_decision beginOnce(once_registry &registry, const std::string &requestId, std::uint64_t fingerprint,
                                      Core::wall_time now);

/// Decides on a question from another daemon. A request that was never seen is recorded as refused for good, so that a
/// late arrival cannot run: the decision is then NotRun. Never returns Start or AskNamedDaemon.
[[nodiscard]] once_decision resolveOnce(once_registry &registry, const std::string &requestId,
                                        std::uint64_t fingerprint, Core::wall_time now);

/// Records the answer of a request that beginOnce() started.
void finishOnce(once_registry &registry, const std::string &requestId, int status, std::string answer);

/// Forgets requests whose ids are too old to be started. Called by the two functions above; also on a timer.
void forgetOldRequests(once_registry &registry, Core::wall_time now);
} // namespace Query
