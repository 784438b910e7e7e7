#include "LibRollout/JudgeEvidence.h"

#include "LibRollout/RolloutEvidence.h"

#include <cmath>
#include <cstddef>

namespace Rollout
{
/// Fewest faulty answers of the new version for a verdict.
static constexpr double fewestFaulty = 8.0;
/// Negative logarithm of the probability below which chance is ruled out. The evidence is judged several times a
/// second for hours, so one look must hardly ever be wrong.
static constexpr double certainty = 20.0;
/// Faults beyond the expected ones, as a part of the new version's answers, below which a difference does not matter.
static constexpr double smallestExcess = 0.02;

/// The counts of one route or of all, over all daemons.
struct fault_sums {
    double newTotal = 0.0;
    double newFaulty = 0.0;
    double faulty = 0.0;
    double expected = 0.0; ///< Faulty answers of the new version if it were like the old one.
};

static void addCounts(fault_sums &sums, const route_counts &counts)
{
    sums.newTotal += counts.newTotal;
    sums.newFaulty += counts.newFaulty;
    sums.faulty += counts.faulty;
    sums.expected += counts.expected / route_counts::expectedScale;
}

/// Returns `part` times the logarithm of `seen / expected`, 0 for no part.
static double informationOf(double part, double seen, double expected)
{
    return part <= 0.0 ? 0.0 : part * std::log(seen / expected);
}

/// Returns whether chance is ruled out, by the Chernoff bound for independent draws with unequal probabilities.
static bool isBad(const fault_sums &sums)
{
    const double excess = sums.newFaulty - sums.expected;
    if (sums.newFaulty < fewestFaulty || excess < smallestExcess * sums.newTotal || sums.expected >= sums.faulty) {
        return false;
    }
    const double oldFaulty = sums.faulty - sums.newFaulty;
    const double expectedOld = sums.faulty - sums.expected;
    // With no expected fault at all the share was 0, and the answers are those of queries drawn before.
    if (sums.expected <= 0.0) {
        return false;
    }
    return informationOf(sums.newFaulty, sums.newFaulty, sums.expected)
        + informationOf(oldFaulty, oldFaulty, expectedOld)
        >= certainty;
}

static bool isBadInWindow(const rollout_evidence &evidence, std::size_t scale, Core::wall_time now)
{
    const auto window = static_cast<std::uint32_t>(now.time_since_epoch() / windowLengths[scale]);
    fault_sums all;
    std::map<std::uint32_t, fault_sums> byRoute;
    for (const auto &[incarnation, daemon] : evidence.daemons) {
        for (const auto &[route, counts] : daemon.routes) {
            for (const auto &[number, part] : counts.windows[scale]) {
                // Clocks may differ a little, so the next window counts as well.
                if (number + 1 >= window) {
                    addCounts(all, part);
                    addCounts(byRoute[route], part);
                }
            }
        }
    }
    if (isBad(all)) {
        return true;
    }
    for (const auto &[route, sums] : byRoute) {
        if (isBad(sums)) {
            return true;
        }
    }
    return false;
}

verdict judgeEvidence(const rollout_evidence &evidence, Core::wall_time now)
{
    bool bad = evidence.bad;
    for (std::size_t scale = 0; scale < windowLengths.size() && !bad; ++scale) {
        bad = isBadInWindow(evidence, scale, now);
    }
    return bad ? verdict::Bad : verdict::Good;
}
} // namespace Rollout
