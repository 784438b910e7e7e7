#include "LibRollout/Evidence.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Rollout
{
std::uint32_t nameKey(std::string_view name)
{
    // FNV-1a, since std::hash may differ between builds of the daemon.
    std::uint32_t hash = 2166136261U;
    for (const char letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
    }
    return hash;
}

static constexpr double highQuantile = 0.9;

static void updateBaseline(latency_baseline &baseline, double latency)
{
    constexpr std::size_t initialSamples = 10;
    constexpr double step = 0.05;
    if (baseline.highLatency > 0.0) {
        baseline.highLatency *=
            latency > baseline.highLatency ? 1.0 + step * highQuantile : 1.0 - step * (1.0 - highQuantile);
        return;
    }
    baseline.initialLatencies.push_back(latency);
    if (baseline.initialLatencies.size() == initialSamples) {
        std::sort(baseline.initialLatencies.begin(), baseline.initialLatencies.end());
        const double position = highQuantile * static_cast<double>(initialSamples - 1);
        baseline.highLatency = baseline.initialLatencies[static_cast<std::size_t>(position)];
        baseline.initialLatencies.clear();
    }
}

static bool isSlow(const latency_baseline &baseline, double latency)
{
    constexpr double slowFactor = 1.4;
    return latency > baseline.highLatency * slowFactor;
}

static void countFault(fault_counts &faults, version_side side, double newShare)
{
    ++faults.total;
    faults.byNewVersion += side == version_side::New ? 1 : 0;
    faults.expected += static_cast<std::uint32_t>(std::lround(newShare * fault_counts::expectedScale));
}

/// Counts the slow ones of the answers in the current windows.
static void countSlow(const std::vector<pending_answer> &answers, const latency_baseline &baseline,
                      const std::vector<route_counts *> &windows)
{
    for (const pending_answer &answer : answers) {
        if (!isSlow(baseline, answer.latency)) {
            continue;
        }
        for (route_counts *counts : windows) {
            countFault(counts->slow, answer.side, answer.newShare);
        }
    }
}

/// Compares a latency with the baseline of the old version, and updates the baseline with the old version's latencies.
/// Answers before the baseline is established are kept and compared later, so that a version that is slow from the
/// start is detected at once.
static void compareLatency(latency_baseline &baseline, const observation &observed,
                           const std::vector<route_counts *> &windows)
{
    constexpr std::size_t maximumPendingAnswers = 200;
    const pending_answer answer {observed.side, observed.newShare, Core::toSeconds(observed.latency)};
    const bool hasBaseline = baseline.highLatency > 0.0;
    if (hasBaseline && !observed.failed) {
        countSlow({answer}, baseline, windows);
    }
    if (!hasBaseline && !observed.failed && baseline.pendingAnswers.size() < maximumPendingAnswers) {
        baseline.pendingAnswers.push_back(answer);
    }
    if (observed.side == version_side::Old) {
        updateBaseline(baseline, answer.latency);
    }
    if (!hasBaseline && baseline.highLatency > 0.0) {
        countSlow(std::exchange(baseline.pendingAnswers, {}), baseline, windows);
    }
}

/// Removes all windows but the newest one and its predecessor.
static void dropOldWindows(std::map<std::uint32_t, route_counts> &windows)
{
    while (windows.size() > 1 && windows.begin()->first + 1 < windows.rbegin()->first) {
        windows.erase(windows.begin());
    }
}

void recordAnswer(own_evidence &own, const observation &observed, Core::wall_time now)
{
    route_evidence &route = own.counts.routes[nameKey(observed.route)];
    std::vector<route_counts *> current;
    for (std::size_t scale = 0; scale < windowLengths.size(); ++scale) {
        const auto window = static_cast<std::uint32_t>(now.time_since_epoch() / windowLengths[scale]);
        std::map<std::uint32_t, route_counts> &windows = route.windows[scale];
        windows.try_emplace(window);
        dropOldWindows(windows);
        // The window may have been removed as too old if the clock was set back.
        if (const auto counts = windows.find(window); counts != windows.end()) {
            current.push_back(&counts->second);
        }
    }
    for (route_counts *counts : current) {
        counts->newTotal += observed.side == version_side::New ? 1 : 0;
        if (observed.failed) {
            countFault(counts->errors, observed.side, observed.newShare);
        }
    }
    compareLatency(own.baselines[observed.route], observed, current);
}

static void mergeMaximum(fault_counts &target, const fault_counts &other)
{
    target.total = std::max(target.total, other.total);
    target.byNewVersion = std::max(target.byNewVersion, other.byNewVersion);
    target.expected = std::max(target.expected, other.expected);
}

static void mergeMaximum(route_counts &target, const route_counts &other)
{
    target.newTotal = std::max(target.newTotal, other.newTotal);
    mergeMaximum(target.errors, other.errors);
    mergeMaximum(target.slow, other.slow);
}

static void mergeRoute(route_evidence &target, const route_evidence &other)
{
    for (std::size_t scale = 0; scale < windowLengths.size(); ++scale) {
        for (const auto &[window, counts] : other.windows[scale]) {
            mergeMaximum(target.windows[scale][window], counts);
        }
        dropOldWindows(target.windows[scale]);
    }
}

/// Hashes an incarnation. Incarnations are timestamps, which by themselves would give a biased sample.
static std::uint64_t sampleHash(std::uint64_t incarnation)
{
    std::uint64_t mixed = (incarnation ^ (incarnation >> 31U)) * 0x9E3779B97F4A7C15ULL;
    mixed = (mixed ^ (mixed >> 29U)) * 0xBF58476D1CE4E5B9ULL;
    return mixed ^ (mixed >> 32U);
}

static void trimToSample(rollout_evidence &target)
{
    const auto before = [](const auto &left, const auto &right) {
        return sampleHash(left.first) < sampleHash(right.first);
    };
    while (target.daemons.size() > maximumDaemonRows) {
        target.daemons.erase(std::max_element(target.daemons.begin(), target.daemons.end(), before));
    }
}

void mergeDaemon(rollout_evidence &target, std::uint64_t incarnation, const daemon_evidence &row)
{
    daemon_evidence &targetDaemon = target.daemons[incarnation];
    targetDaemon.dataCentre = std::max(targetDaemon.dataCentre, row.dataCentre);
    for (const auto &[route, evidence] : row.routes) {
        mergeRoute(targetDaemon.routes[route], evidence);
    }
    trimToSample(target);
}

void mergeEvidence(rollout_evidence &target, const rollout_evidence &other)
{
    target.bad = target.bad || other.bad;
    for (const auto &[incarnation, row] : other.daemons) {
        mergeDaemon(target, incarnation, row);
    }
}
} // namespace Rollout
