#include "LibObservability/MetricsRegistry.h"

#include <gtest/gtest.h>

TEST(MetricsRegistry, WritesPrometheusText)
{
    Observability::metrics_registry registry;
    registry.counter("queries_total", "Queries.", {{"outcome", "answered"}}).add(3);
    registry.gauge("members", "Live daemons.", [] { return 9.0; });
    const std::string text = registry.toText({});
    EXPECT_NE(text.find("# TYPE queries_total counter\nqueries_total{outcome=\"answered\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("members 9\n"), std::string::npos);
}

TEST(MetricsRegistry, QuantilesExcludeValuesOlderThanTheWindow)
{
    Observability::metrics_registry registry;
    Observability::metric_summary &summary = registry.summary("latency_seconds", "Latency.");
    Core::time_point now {};
    for (int index = 0; index < 1000; ++index) {
        summary.add(std::chrono::milliseconds(1 + index % 100), now);
    }
    EXPECT_NEAR(Core::toSeconds(summary.values(now).median), 0.05, 0.01);
    EXPECT_NEAR(Core::toSeconds(summary.values(now).quantile99), 0.1, 0.02);
    now += std::chrono::minutes(5);
    summary.add(std::chrono::seconds(7), now);
    EXPECT_EQ(summary.values(now).median, std::chrono::seconds(7));
    EXPECT_EQ(summary.values(now).count, 1001U);
}
