#include "LibTeams/Overload.h"

#include <algorithm>
#include <cstddef>

using Configuration::priority_class;

namespace Teams
{
/// Interval at which the limit is adapted.
static constexpr std::chrono::milliseconds adaptationWindow {100};
/// A window is extended until it has this many ended queries.
static constexpr std::uint32_t minimumEndedQueries = 8;
/// Mean fraction of the allowed time used by queries above which the limit is decreased.
static constexpr double decreasePressure = 0.25;
/// Mean fraction of the allowed time below which the limit is increased fast.
static constexpr double fastIncreasePressure = 0.15;
static constexpr double decreaseFactor = 0.85;
static constexpr double slowIncreaseFactor = 1.03;
static constexpr double fastIncreaseFactor = 1.25;
/// The limit is increased only if at least this fraction of it was in use.
static constexpr double minimumUsedFraction = 0.7;
/// Minimum of the limit in queries of the largest cost, so that a few queries that are slow for reasons other than load
/// do not cause the refusal of all others.
static constexpr double minimumLimitQueries = 8.0;
static constexpr double maximumLimit = 1e7;

static double limitFactor(priority_class priority)
{
    switch (priority) {
    case priority_class::Alert:
        return 4.0;
    case priority_class::Lookup:
        return 1.0;
    case priority_class::Ordinary:
        return 0.9;
    }
    return 0.9;
}

std::optional<refusal> startLoad(overload_state &state, priority_class priority, double cost)
{
    constexpr std::chrono::milliseconds retryAfter {500};
    // A query larger than the limit runs alone.
    if (state.inFlight > 0.0 && state.inFlight + cost > state.limit * limitFactor(priority)) {
        return refusal {refusal_reason::Overloaded, retryAfter};
    }
    state.inFlight += cost;
    state.largestCost = std::max(state.largestCost, cost);
    state.peakInFlight = std::max(state.peakInFlight, state.inFlight);
    return std::nullopt;
}

/// Returns the mean fraction of the allowed time that queries used, of the class in which it is highest. Classes are
/// averaged separately, since their deadlines differ.
static double pressureOf(const overload_state &state)
{
    double pressure = 0.0;
    for (std::size_t index = 0; index < overload_state::classCount; ++index) {
        if (state.endedCount[index] > 0) {
            pressure = std::max(pressure, state.usedSum[index] / state.endedCount[index]);
        }
    }
    return pressure;
}

static void adaptLimit(overload_state &state, Core::time_point now)
{
    const double pressure = pressureOf(state);
    if (pressure > decreasePressure) {
        // The limit may be higher than the number of requests that caused the pressure, so the decrease starts from the
        // peak that was in flight.
        state.limit = std::min(state.limit, state.peakInFlight) * decreaseFactor;
    } else if (state.peakInFlight > state.limit * minimumUsedFraction) {
        state.limit *= pressure < fastIncreasePressure ? fastIncreaseFactor : slowIncreaseFactor;
    }
    state.limit = std::clamp(state.limit, minimumLimitQueries * state.largestCost, maximumLimit);
    state.usedSum = {};
    state.endedCount = {};
    state.peakInFlight = state.inFlight;
    state.windowStart = now;
}

void endLoad(overload_state &state, priority_class priority, double cost, Core::duration latency,
             Core::duration allowed, Core::time_point now)
{
    state.inFlight = std::max(0.0, state.inFlight - cost);
    const auto index = static_cast<std::size_t>(priority);
    const double used = allowed.count() > 0 ? Core::toSeconds(latency) / Core::toSeconds(allowed) : 1.0;
    state.usedSum[index] += std::min(used, 1.0);
    ++state.endedCount[index];
    std::uint32_t ended = 0;
    for (const std::uint32_t count : state.endedCount) {
        ended += count;
    }
    if (now - state.windowStart >= adaptationWindow && ended >= minimumEndedQueries) {
        adaptLimit(state, now);
    }
}
} // namespace Teams
