#pragma once

#include "LibCore/Time.h"
#include "LibObservability/MetricCounter.h"
#include "LibObservability/MetricLabel.h"
#include "LibObservability/MetricSummary.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Observability
{
/// All metrics of a process. Metrics live as long as the registry, so that users can look them up once and keep
/// references.
class metrics_registry
{
public:
    using labels = std::vector<metric_label>;

    /// Returns the counter with this name and these labels; creates it on first use. `help` is one sentence.
    metric_counter &counter(const std::string &name, const std::string &help, const labels &labelSet = {});
    /// Returns the summary with this name and these labels; creates it on first use.
    metric_summary &summary(const std::string &name, const std::string &help, const labels &labelSet = {});
    /// Registers a gauge whose value is read for each report.
    void gauge(const std::string &name, const std::string &help, std::function<double()> read);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string toText(Core::time_point now);

private:
    template<typename Metric> struct family {
        std::string help;
        std::map<labels, std::unique_ptr<Metric>> members;
    };
    struct gauge_entry {
        std::string help;
        std::function<double()> read;
    };

    std::mutex m_mutex; ///< Guards all members below, but not the metrics themselves.
    std::map<std::string, family<metric_counter>> m_counters;
    std::map<std::string, family<metric_summary>> m_summaries;
    std::map<std::string, gauge_entry> m_gauges;
};
} // namespace Observability
