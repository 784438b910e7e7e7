#include "LibRollout/EvaluateEvidence.h"

#include "LibRollout/RolloutEvidence.h"

#include <array>
#include <cmath>
#include <cstddef>

namespace Rollout
{
/// Minimum number of faulty answers of the new version for a bad verdict.
static constexpr double minimumFaultyAnswers = 8.0;
/// Negative logarithm of the probability below which chance is ruled out, for each window length. The evidence is
/// evaluated several times a second for hours, so the probability of a false verdict per evaluation must be very low.
/// There are at most a twentieth as many of the longer windows, so an e^3 times higher probability gives about the same
/// number of false verdicts.
static constexpr std::array<double, windowLengths.size()> evidenceThresholds {17.0, 14.0, 14.0, 14.0};
/// Minimum excess of faulty over expected faulty answers, as a fraction of the new version's answers. A smaller
/// difference is tolerated.
static constexpr double minimumExcessFraction = 0.02;

/// Sums of one kind of faulty answers over all daemons, for one route or all routes.
struct fault_sums {
    double total = 0.0;
    double byNewVersion = 0.0;
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
    sums.total += counts.total;
    sums.byNewVersion += counts.byNewVersion;
    sums.expected += counts.expected / fault_counts::expectedScale;
}

static void addCounts(route_sums &sums, const route_counts &counts)
{
    sums.newTotal += counts.newTotal;
    addFaults(sums.errors, counts.errors);
    addFaults(sums.slow, counts.slow);
}

/// Returns one version's term of the exponent of the Chernoff bound; 0 if it has no faulty answers.
static double exponentTerm(double observed, double expected)
{
    return observed <= 0.0 ? 0.0 : observed * std::log(observed / expected);
}

/// Returns whether chance is ruled out as the cause, by the Chernoff bound for independent trials with unequal
/// probabilities.
static bool isBad(const fault_sums &faults, double newTotal, double evidenceThreshold)
{
    if (faults.byNewVersion < minimumFaultyAnswers
        || faults.byNewVersion - faults.expected < minimumExcessFraction * newTotal) {
        return false;
    }
    const double byOldVersion = faults.total - faults.byNewVersion;
    const double expectedByOldVersion = faults.total - faults.expected;
    // If no faulty answers are expected of one version, there is no comparison.
    if (faults.expected <= 0.0 || expectedByOldVersion <= 0.0) {
        return false;
    }
    return exponentTerm(faults.byNewVersion, faults.expected) + exponentTerm(byOldVersion, expectedByOldVersion)
        >= evidenceThreshold;
}

static bool isBad(const route_sums &sums, double evidenceThreshold)
{
    return isBad(sums.errors, sums.newTotal, evidenceThreshold) || isBad(sums.slow, sums.newTotal, evidenceThreshold);
}

static bool isBadInWindow(const rollout_evidence &evidence, std::size_t scale, Core::wall_time now)
{
    const auto window = static_cast<std::uint32_t>(now.time_since_epoch() / windowLengths[scale]);
    route_sums total;
    std::map<std::uint32_t, route_sums> byRoute;
    for (const auto &[incarnation, daemon] : evidence.daemons) {
        for (const auto &[route, counts] : daemon.routes) {
            for (const auto &[number, windowCounts] : counts.windows[scale]) {
                // The clocks of the daemons may differ a little, so the previous and the next window are included.
                if (number + 1 >= window) {
                    addCounts(total, windowCounts);
                    addCounts(byRoute[route], windowCounts);
                }
            }
        }
    }
    if (isBad(total, evidenceThresholds[scale])) {
        return true;
    }
    for (const auto &[route, sums] : byRoute) {
        if (isBad(sums, evidenceThresholds[scale])) {
            return true;
        }
    }
    return false;
}

verdict evaluateEvidence(const rollout_evidence &evidence, Core::wall_time now)
{
    bool bad = evidence.bad;
    for (std::size_t scale = 0; scale < windowLengths.size() && !bad; ++scale) {
        bad = isBadInWindow(evidence, scale, now);
    }
    return bad ? verdict::Bad : verdict::Good;
}
} // namespace Rollout
