#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Forward
{
struct retry_budget;
struct retry_limits;
enum class attempt_kind;

/// One active daemon's part of the fleet's retry slack. Each data centre has a fixed part, so that data centres that
/// cannot reach each other stay within the total; `holders` daemons share it.
[[nodiscard]] double slackPerDaemon(double fleetSlack, std::size_t dataCentres, std::size_t holders);

/// Counts a first attempt at a service.
void recordFirstAttempt(retry_budget &budget, const retry_limits &limits, Core::time_point now);

/// Counts a retry or hedge and returns true, or returns false if the budget of the current window is exhausted. Hedges
/// leave a part of the budget to required retries.
[[nodiscard]] bool tryTakeRetry(retry_budget &budget, const retry_limits &limits, attempt_kind kind,
                                Core::time_point now);

/// Returns a retry that was taken at `takenAt` and whose attempt reached no replica.
void returnRetry(retry_budget &budget, const retry_limits &limits, Core::time_point takenAt, Core::time_point now);
} // namespace Forward
