#pragma once

#include "LibCore/Time.h"
#include "LibObservability/SummaryValues.h"

#include <memory>
#include <mutex>

namespace Observability
{
/// Count, sum and recent quantiles of a duration. Thread-safe.
class metric_summary
{
public:
    metric_summary();
    ~metric_summary();
    metric_summary(const metric_summary &) = delete;
    metric_summary &operator=(const metric_summary &) = delete;

    void add(Core::duration value, Core::time_point now);
    /// Returns the totals, and the quantiles of the last one to two minutes.
    [[nodiscard]] summary_values values(Core::time_point now);

private:
    struct window;
    void rotateWindows(Core::time_point now);

    std::mutex m_mutex; ///< Guards all members below.
    std::unique_ptr<window> m_current;
    std::unique_ptr<window> m_previous;
    Core::time_point m_windowStart;
    std::uint64_t m_count = 0;
    Core::duration m_sum {};
};
} // namespace Observability
