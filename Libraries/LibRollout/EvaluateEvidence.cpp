#include "LibRollout/EvaluateEvidence.h"

#include "LibRollout/RolloutEvidence.h"

#include <array>
#include <cmath>
#include <cstddef>

namespace Rollout
{
/// Minimum number of faulty answers of the new version for a bad verdict.
static constexpr double fewestFaulty = 8.0;
/// Negative logarithm of the probability below which chance is ruled out, for each window length. The evidence is
/// evaluated several times a second for hours, so the probability of a false verdict per evaluation must be very low.
/// There are at most a twentieth as many of the longer windows, so an e^3 times higher probability gives about the same
/// number of false verdicts.
static constexpr std::array<double, windowLengths.size()> certainties {17.0, 14.0, 14.0, 14.0};
/// Minimum excess of faulty over expected faulty answers, as a fraction of the new version's answers. A smaller
/// difference is tolerated.
static constexpr double smallestExcess = 0.02;

/// Sums of one kind of faulty answers over all daemons, for one route or all routes.
struct fault_sums {
    double all = 0.0;
    double ofNew = 0.0;
    double expected = 0.0; ///< Expected faulty answers of the new version if it is no different from the old one.
};

/// Sums of the counts over all daemons, for one route or all routes.
struct route_sums {
    double newTotal = 0.0;
    fault_sums errors;
    fault_sums slow;
};

static void addFaults(fault_sums &sums, const fault_counts &counts)
{
    sums.all += counts.all;
    sums.ofNew += counts.ofNew;
    sums.expected += counts.expected / fault_counts::expectedScale;
}

static void addCounts(route_sums &sums, const route_counts &counts)
{
    sums.newTotal += counts.newTotal;
    addFaults(sums.errors, counts.errors);
    addFaults(sums.slow, counts.slow);
}

/// Returns one version's term of the exponent of the Chernoff bound; 0 if it has no faulty answers.
static double informationOf(double seen, double expected)
{
    return seen <= 0.0 ? 0.0 : seen * std::log(seen / expected);
}

/// Returns whether chance is ruled out as the cause, by the Chernoff bound for independent trials with unequal
/// probabilities.
static bool isBad(const fault_sums &faults, double newTotal, double certainty)
{
    if (faults.ofNew < fewestFaulty || faults.ofNew - faults.expected < smallestExcess * newTotal) {
        return false;
    }
    const double ofOld = faults.all - faults.ofNew;
    const double expectedOfOld = faults.all - faults.expected;
    // If no faulty answers are expected of one version, there is no comparison.
    if (faults.expected <= 0.0 || expectedOfOld <= 0.0) {
        return false;
    }
    return informationOf(faults.ofNew, faults.expected) + informationOf(ofOld, expectedOfOld) >= certainty;
}

static bool isBad(const route_sums &sums, double certainty)
{
    return isBad(sums.errors, sums.newTotal, certainty) || isBad(sums.slow, sums.newTotal, certainty);
}

static bool isBadInWindow(const rollout_evidence &evidence, std::size_t scale, Core::wall_time now)
{
    const auto window = static_cast<std::uint32_t>(now.time_since_epoch() / windowLengths[scale]);
    route_sums all;
    std::map<std::uint32_t, route_sums> byRoute;
    for (const auto &[incarnation, daemon] : evidence.daemons) {
        for (const auto &[route, counts] : daemon.routes) {
            for (const auto &[number, part] : counts.windows[scale]) {
                // The clocks of the daemons may differ a little, so the previous and the next window are included.
                if (number + 1 >= window) {
                    addCounts(all, part);
                    addCounts(byRoute[route], part);
                }
            }
        }
    }
    if (isBad(all, certainties[scale])) {
        return true;
    }
    for (const auto &[route, sums] : byRoute) {
        if (isBad(sums, certainties[scale])) {
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
