#include "LibObservability/MetricSummary.h"

#if defined(__GNUC__) && !defined(__clang__)
// The library leaves a member uninitialized until its first use, which GCC 12 reports when it inlines the accumulator.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace Observability
{
namespace accumulators = boost::accumulators;

static constexpr std::chrono::seconds windowLength {60};
static constexpr std::array<double, 5> quantileMarkers {0.25, 0.5, 0.9, 0.99, 0.999};
static constexpr std::size_t minimumQuantileValues = 2 * quantileMarkers.size() + 3;

struct metric_summary::window {
    using accumulator = accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square_quantile>>;
    accumulator seconds {accumulators::tag::extended_p_square::probabilities = quantileMarkers};
    std::vector<double> initialSeconds; ///< Used until the accumulator has enough values for valid quantiles.

    void add(double value)
    {
        seconds(value);
        if (initialSeconds.size() < minimumQuantileValues) {
            initialSeconds.push_back(value);
        }
    }

    double quantile(double fraction)
    {
        if (initialSeconds.empty()) {
            return 0.0;
        }
        if (initialSeconds.size() == minimumQuantileValues) {
            return accumulators::quantile(seconds, accumulators::quantile_probability = fraction);
        }
        std::sort(initialSeconds.begin(), initialSeconds.end());
        return initialSeconds[static_cast<std::size_t>(fraction * static_cast<double>(initialSeconds.size()))];
    }
};

metric_summary::metric_summary()
    : m_current(std::make_unique<window>())
    , m_previous(std::make_unique<window>())
{
}

metric_summary::~metric_summary() = default;

void metric_summary::rotateWindows(Core::time_point now)
{
    if (now - m_windowStart < windowLength) {
        return;
    }
    const bool adjacent = now - m_windowStart < 2 * windowLength;
    m_previous = adjacent ? std::move(m_current) : std::make_unique<window>();
    m_current = std::make_unique<window>();
    m_windowStart = now;
}

void metric_summary::add(Core::duration value, Core::time_point now)
{
    const std::scoped_lock lock(m_mutex);
    rotateWindows(now);
    m_current->add(Core::toSeconds(value));
    ++m_count;
    m_sum += value;
}

summary_values metric_summary::values(Core::time_point now)
{
    const std::scoped_lock lock(m_mutex);
    rotateWindows(now);
    const bool currentIsFuller = accumulators::count(m_current->seconds) >= accumulators::count(m_previous->seconds);
    window &selected = currentIsFuller ? *m_current : *m_previous;
    return {m_count, m_sum, Core::fromSeconds(selected.quantile(0.5)), Core::fromSeconds(selected.quantile(0.99))};
}
} // namespace Observability
