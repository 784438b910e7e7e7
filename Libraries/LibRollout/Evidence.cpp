#include "LibRollout/Evidence.h"

#include <algorithm>
#include <cmath>

namespace Rollout
{
std::uint32_t nameKey(std::string_view name)
{
    // FNV-1a, since std::hash may differ between builds.
    std::uint32_t hash = 2166136261U;
    for (const char letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
    }
    return hash;
}

/// Returns whether the latency is high against the old version, whose quantile it moves if the query was the old
/// version's.
static bool isSlow(double &quantile, version_side side, double latency)
{
    constexpr double part = 0.9;
    constexpr double step = 0.05;
    constexpr double margin = 1.3;
    if (quantile <= 0.0) {
        quantile = side == version_side::Old ? latency : 0.0;
        return false;
    }
    const bool slow = latency > quantile * margin;
    if (side == version_side::Old) {
        quantile *= latency > quantile ? 1.0 + step * part : 1.0 - step * (1.0 - part);
    }
    return slow;
}

static void count(route_counts &counts, const observation &seen, bool faulty)
{
    const bool isNew = seen.side == version_side::New;
    counts.newTotal += isNew ? 1 : 0;
    if (faulty) {
        ++counts.faulty;
        counts.newFaulty += isNew ? 1 : 0;
        counts.expected += static_cast<std::uint32_t>(std::lround(seen.newShare * route_counts::expectedScale));
    }
}

/// Drops all but the newest window and the one before it.
static void dropOldWindows(std::map<std::uint32_t, route_counts> &windows)
{
    while (windows.size() > 1 && windows.begin()->first + 1 < windows.rbegin()->first) {
        windows.erase(windows.begin());
    }
}

void recordAnswer(own_evidence &own, const observation &seen, Core::wall_time now)
{
    const bool slow = isSlow(own.highLatency[seen.route], seen.side, Core::toSeconds(seen.latency));
    route_evidence &route = own.counts.routes[nameKey(seen.route)];
    for (std::size_t scale = 0; scale < windowLengths.size(); ++scale) {
        const auto window = static_cast<std::uint32_t>(now.time_since_epoch() / windowLengths[scale]);
        count(route.windows[scale][window], seen, seen.failed || slow);
        dropOldWindows(route.windows[scale]);
    }
}

static void takeLarger(route_counts &held, const route_counts &other)
{
    held.newTotal = std::max(held.newTotal, other.newTotal);
    held.newFaulty = std::max(held.newFaulty, other.newFaulty);
    held.faulty = std::max(held.faulty, other.faulty);
    held.expected = std::max(held.expected, other.expected);
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

/// Spreads incarnations, which are times, evenly.
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
