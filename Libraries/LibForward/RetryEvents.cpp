#include "LibForward/RetryEvents.h"

#include "LibForward/AttemptKind.h"
#include "LibForward/RetryBudget.h"
#include "LibForward/RetryLimits.h"

#include <algorithm>
#include <numeric>

namespace Forward
{
/// Fraction of the ratio that is used: requests near the edge of a window may be counted in the next one.
static constexpr double usedFraction = 0.9;

/// Fraction of the budget beyond which no hedges are sent.
static constexpr double hedgeFraction = 0.8;
/// Fraction of the slack that daemons hold.
static constexpr double distributedFraction = 0.86;
/// Fraction of a daemon's part that it earns within the first window; the total reaches the whole slack.
static constexpr double initialFraction = (1.0 - distributedFraction) / distributedFraction;

static std::int64_t bucketNumber(const retry_limits &limits, Core::time_point when)
{
    // One bucket more than the window needs keeps every sliding window within the counted span.
    const Core::duration width = limits.window / static_cast<std::int64_t>(retry_budget::bucketCount - 1);
    return when.time_since_epoch() / width;
}

static void advance(retry_budget &budget, const retry_limits &limits, Core::time_point now)
{
    const std::int64_t current = bucketNumber(limits, now);
    const std::int64_t steps = std::min<std::int64_t>(current - budget.newestBucket, retry_budget::bucketCount);
    for (std::int64_t step = 0; step < steps; ++step) {
        const std::size_t index = static_cast<std::size_t>(current - step) % retry_budget::bucketCount;
        budget.firstAttempts[index] = 0;
        budget.retries[index] = 0;
    }
    budget.newestBucket = std::max(budget.newestBucket, current);
}

static std::size_t newestIndex(const retry_budget &budget)
{
    return static_cast<std::size_t>(budget.newestBucket) % retry_budget::bucketCount;
}

void recordFirstAttempt(retry_budget &budget, const retry_limits &limits, Core::time_point now)
{
    advance(budget, limits, now);
    ++budget.firstAttempts[newestIndex(budget)];
}

double slackPerDaemon(double fleetSlack, std::size_t dataCentres, std::size_t holders)
{
    const std::size_t parts = std::max<std::size_t>(dataCentres, 1) * std::max<std::size_t>(holders, 1);
    return fleetSlack * distributedFraction / static_cast<double>(parts);
}

/// In the first window after it became active, a daemon earns only the undistributed part of the slack: the daemon that
/// it replaced may have used up the rest. However often daemons are replaced within a window, the sum stays in bounds.
static double earnedSlack(const retry_limits &limits, Core::time_point now)
{
    const double age = Core::toSeconds(now - limits.activeSince) / Core::toSeconds(limits.window);
    return age >= 1.0 ? limits.slack : limits.slack * initialFraction * std::max(age, 0.0);
}

static std::uint32_t totalOf(const std::array<std::uint32_t, retry_budget::bucketCount> &buckets)
{
    return std::accumulate(buckets.begin(), buckets.end(), std::uint32_t {0});
}

static double allowedRetries(const retry_budget &budget, const retry_limits &limits, Core::time_point now)
{
    return limits.ratio * usedFraction * totalOf(budget.firstAttempts) + earnedSlack(limits, now);
}

bool tryTakeRetry(retry_budget &budget, const retry_limits &limits, attempt_kind kind, Core::time_point now)
{
    advance(budget, limits, now);
    const double allowed = allowedRetries(budget, limits, now) * (kind == attempt_kind::Hedge ? hedgeFraction : 1.0);
    if (totalOf(budget.retries) + 1.0 > allowed) {
        return false;
    }
    ++budget.retries[newestIndex(budget)];
    return true;
}

void returnRetry(retry_budget &budget, const retry_limits &limits, Core::time_point takenAt, Core::time_point now)
{
    advance(budget, limits, now);
    const std::int64_t bucket = bucketNumber(limits, takenAt);
    const bool isCounted = budget.newestBucket - bucket < static_cast<std::int64_t>(retry_budget::bucketCount);
    std::uint32_t &retries = budget.retries[static_cast<std::size_t>(bucket) % retry_budget::bucketCount];
    if (isCounted && retries > 0) {
        --retries;
    }
}
} // namespace Forward
