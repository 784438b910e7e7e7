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

static constexpr double highPart = 0.9;

static void learnLatency(latency_baseline &baseline, double latency)
{
    constexpr std::size_t enoughToStart = 10;
    constexpr double step = 0.05;
    if (baseline.highLatency > 0.0) {
        baseline.highLatency *= latency > baseline.highLatency ? 1.0 + step * highPart : 1.0 - step * (1.0 - highPart);
        return;
    }
    baseline.first.push_back(latency);
    if (baseline.first.size() == enoughToStart) {
        std::sort(baseline.first.begin(), baseline.first.end());
        const double position = highPart * static_cast<double>(enoughToStart - 1);
        baseline.highLatency = baseline.first[static_cast<std::size_t>(position)];
        baseline.first.clear();
    }
}

static bool isSlow(const latency_baseline &baseline, double latency)
{
    constexpr double margin = 1.4;
    return latency > baseline.highLatency * margin;
}

static void countFault(fault_counts &faults, version_side side, double newShare)
{
    ++faults.all;
    faults.ofNew += side == version_side::New ? 1 : 0;
    faults.expected += static_cast<std::uint32_t>(std::lround(newShare * fault_counts::expectedScale));
}

/// Counts the slow ones of the answers in the current windows.
static void countSlow(const std::vector<early_answer> &answers, const latency_baseline &baseline,
                      const std::vector<route_counts *> &windows)
{
    for (const early_answer &answer : answers) {
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
static void compareLatency(latency_baseline &baseline, const observation &seen,
                           const std::vector<route_counts *> &windows)
{
    constexpr std::size_t mostEarly = 200;
    const early_answer answer {seen.side, seen.newShare, Core::toSeconds(seen.latency)};
    const bool known = baseline.highLatency > 0.0;
    if (known && !seen.failed) {
        countSlow({answer}, baseline, windows);
    }
    if (!known && !seen.failed && baseline.early.size() < mostEarly) {
        baseline.early.push_back(answer);
    }
    if (seen.side == version_side::Old) {
        learnLatency(baseline, answer.latency);
    }
    if (!known && baseline.highLatency > 0.0) {
        countSlow(std::exchange(baseline.early, {}), baseline, windows);
    }
}

/// Removes all windows but the newest one and its predecessor.
static void dropOldWindows(std::map<std::uint32_t, route_counts> &windows)
{
    while (windows.size() > 1 && windows.begin()->first + 1 < windows.rbegin()->first) {
        windows.erase(windows.begin());
    }
}

void recordAnswer(own_evidence &own, const observation &seen, Core::wall_time now)
{
    route_evidence &route = own.counts.routes[nameKey(seen.route)];
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
        counts->newTotal += seen.side == version_side::New ? 1 : 0;
        if (seen.failed) {
            countFault(counts->errors, seen.side, seen.newShare);
        }
    }
    compareLatency(own.baselines[seen.route], seen, current);
}

static void takeLarger(fault_counts &held, const fault_counts &other)
{
    held.all = std::max(held.all, other.all);
    held.ofNew = std::max(held.ofNew, other.ofNew);
    held.expected = std::max(held.expected, other.expected);
}

static void takeLarger(route_counts &held, const route_counts &other)
{
    held.newTotal = std::max(held.newTotal, other.newTotal);
    takeLarger(held.errors, other.errors);
    takeLarger(held.slow, other.slow);
}

static void mergeRoute(route_evidence &held, const route_evidence &other)
{
    for (std::size_t scale = 0; scale < windowLengths.size(); ++scale) {
        for (const auto &[window, counts] : other.windows[scale]) {
            takeLarger(held.windows[scale][window], counts);
        }
        dropOldWindows(held.windows[scale]);
    }
}

/// Hashes an incarnation. Incarnations are timestamps, which by themselves would give a biased sample.
static std::uint64_t sampleOrder(std::uint64_t incarnation)
{
    std::uint64_t mixed = (incarnation ^ (incarnation >> 31U)) * 0x9E3779B97F4A7C15ULL;
    mixed = (mixed ^ (mixed >> 29U)) * 0xBF58476D1CE4E5B9ULL;
    return mixed ^ (mixed >> 32U);
}

static void dropBeyondSample(rollout_evidence &held)
{
    const auto before = [](const auto &left, const auto &right) {
        return sampleOrder(left.first) < sampleOrder(right.first);
    };
    while (held.daemons.size() > mostDaemons) {
        held.daemons.erase(std::max_element(held.daemons.begin(), held.daemons.end(), before));
    }
}

void mergeDaemon(rollout_evidence &held, std::uint64_t incarnation, const daemon_evidence &row)
{
    daemon_evidence &known = held.daemons[incarnation];
    known.dataCentre = std::max(known.dataCentre, row.dataCentre);
    for (const auto &[route, evidence] : row.routes) {
        mergeRoute(known.routes[route], evidence);
    }
    dropBeyondSample(held);
}

void mergeEvidence(rollout_evidence &held, const rollout_evidence &other)
{
    held.bad = held.bad || other.bad;
    for (const auto &[incarnation, row] : other.daemons) {
        mergeDaemon(held, incarnation, row);
    }
}
} // namespace Rollout
