#include "LibForward/RetryEvents.h"

#include "LibForward/RetryBudget.h"
#include "LibForward/RetryLimits.h"

#include <algorithm>
#include <numeric>

namespace Forward
{
/// Fraction of the ratio that is used: requests near the edge of a window may be counted in the next one.
static constexpr double usedPart = 0.9;

static void advance(repeat_budget &budget, const repeat_limits &limits, Core::time_point now)
{
    // One bucket more than the window needs keeps every sliding window within the counted span.
    const Core::duration width = limits.window / static_cast<std::int64_t>(repeat_budget::bucketCount - 1);
    const std::int64_t current = now.time_since_epoch() / width;
    const std::int64_t steps = std::min<std::int64_t>(current - budget.newestBucket, repeat_budget::bucketCount);
    for (std::int64_t step = 0; step < steps; ++step) {
        const std::size_t index = static_cast<std::size_t>(current - step) % repeat_budget::bucketCount;
        budget.firsts[index] = 0;
        budget.repeats[index] = 0;
    }
    budget.newestBucket = std::max(budget.newestBucket, current);
}

static std::size_t newestIndex(const repeat_budget &budget)
{
    return static_cast<std::size_t>(budget.newestBucket) % repeat_budget::bucketCount;
}

void recordFirst(repeat_budget &budget, const repeat_limits &limits, Core::time_point now)
{
    advance(budget, limits, now);
    ++budget.firsts[newestIndex(budget)];
}

double partOfSlack(double fleetSlack, std::size_t widestFleet)
{
    constexpr double givenOut = 0.5;
    return fleetSlack * givenOut / static_cast<double>(std::max<std::size_t>(widestFleet, 1));
}

/// The slack accrues over the first window after the start, so that daemons that restart one after the other do not
/// each gain a full part.
static double earnedSlack(const repeat_limits &limits, Core::time_point now)
{
    const double age = Core::toSeconds(now - limits.startedAt) / Core::toSeconds(limits.window);
    return limits.slack * std::clamp(age, 0.0, 1.0);
}

bool takeRepeat(repeat_budget &budget, const repeat_limits &limits, Core::time_point now)
{
    advance(budget, limits, now);
    const auto firsts = std::accumulate(budget.firsts.begin(), budget.firsts.end(), std::uint32_t {0});
    const auto repeats = std::accumulate(budget.repeats.begin(), budget.repeats.end(), std::uint32_t {0});
    if (repeats + 1.0 > limits.ratio * usedPart * firsts + earnedSlack(limits, now)) {
        return false;
    }
    ++budget.repeats[newestIndex(budget)];
    return true;
}
} // namespace Forward
