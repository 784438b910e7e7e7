#include "LibForward/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
using namespace std::chrono_literals;

static constexpr Core::duration windowLength = 150ms; ///< Slightly more than a target latency: one round of responses.
static constexpr std::size_t minimumFinished = 8; ///< Fewer responses are not significant.
static constexpr double minimumOnTimeFraction = 0.85; ///< A lower fraction means that the shards are overloaded.
static constexpr double decreaseFactor = 0.85;
static constexpr double increaseFactor = 1.05;
/// Below this limit, late responses have other causes than this daemon's load.
static constexpr double minimumLimit = 6.0;
/// Fraction of the limit above which no hedges are sent.
static constexpr double hedgeFraction = 0.7;
/// Each priority step reduces the usable part of the limit by this factor, so less urgent requests are refused first.
static constexpr double priorityFactor = 0.93;

bool mayStart(const concurrency_limit &concurrency, int priority)
{
    const double fraction = std::pow(priorityFactor, std::max(priority, 0));
    return static_cast<double>(concurrency.running) < concurrency.limit * fraction;
}

bool mayHedge(const concurrency_limit &concurrency)
{
    return static_cast<double>(concurrency.running) < concurrency.limit * hedgeFraction;
}

void recordStart(concurrency_limit &concurrency)
{
    ++concurrency.running;
    concurrency.peakRunning = std::max(concurrency.peakRunning, concurrency.running);
}

void recordEndWithoutSample(concurrency_limit &concurrency)
{
    --concurrency.running;
}

static void closeWindow(concurrency_limit &concurrency, Core::time_point now)
{
    const double fraction = static_cast<double>(concurrency.onTime) / static_cast<double>(concurrency.finished);
    const auto peak = static_cast<double>(concurrency.peakRunning);
    if (fraction < minimumOnTimeFraction) {
        concurrency.limit = std::max(std::min(concurrency.limit, peak) * decreaseFactor, minimumLimit);
    } else if (peak >= concurrency.limit * priorityFactor * priorityFactor) {
        concurrency.limit *= increaseFactor;
    }
    concurrency.windowStart = now;
    concurrency.peakRunning = concurrency.running;
    concurrency.finished = 0;
    concurrency.onTime = 0;
}

void recordEnd(concurrency_limit &concurrency, bool wasOnTime, Core::time_point now)
{
    --concurrency.running;
    ++concurrency.finished;
    concurrency.onTime += wasOnTime ? 1 : 0;
    if (concurrency.finished >= minimumFinished && now - concurrency.windowStart >= windowLength) {
        closeWindow(concurrency, now);
    }
}
} // namespace Forward
