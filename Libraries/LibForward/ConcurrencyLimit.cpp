#include "LibForward/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
using namespace std::chrono_literals;

static constexpr Core::duration windowLength = 150ms; ///< Slightly more than a target latency: one round of responses.
static constexpr std::size_t fewestFinished = 8; ///< Fewer responses are not significant.
static constexpr double wantedInTime = 0.85; ///< A lower fraction means that the shards are overloaded.
static constexpr double shrinking = 0.85;
static constexpr double growing = 1.05;
/// Below this limit, late responses have other causes than this daemon's load.
static constexpr double lowestLimit = 6.0;
/// Fraction of the limit above which no hedges are sent.
static constexpr double hedgePart = 0.7;
/// Each priority step reduces the usable part of the limit by this factor, so less urgent requests are refused first.
static constexpr double priorityPart = 0.93;

bool mayStart(const load_limit &load, int priority)
{
    const double part = std::pow(priorityPart, std::max(priority, 0));
    return static_cast<double>(load.running) < load.limit * part;
}

bool mayHedge(const load_limit &load)
{
    return static_cast<double>(load.running) < load.limit * hedgePart;
}

void recordStart(load_limit &load)
{
    ++load.running;
    load.mostRunning = std::max(load.mostRunning, load.running);
}

void recordLeft(load_limit &load)
{
    --load.running;
}

static void closeWindow(load_limit &load, Core::time_point now)
{
    const double part = static_cast<double>(load.inTime) / static_cast<double>(load.finished);
    const auto most = static_cast<double>(load.mostRunning);
    if (part < wantedInTime) {
        load.limit = std::max(std::min(load.limit, most) * shrinking, lowestLimit);
    } else if (most >= load.limit * priorityPart * priorityPart) {
        load.limit *= growing;
    }
    load.windowStart = now;
    load.mostRunning = load.running;
    load.finished = 0;
    load.inTime = 0;
}

void recordEnd(load_limit &load, bool wasInTime, Core::time_point now)
{
    --load.running;
    ++load.finished;
    load.inTime += wasInTime ? 1 : 0;
    if (load.finished >= fewestFinished && now - load.windowStart >= windowLength) {
        closeWindow(load, now);
    }
}
} // namespace Forward
