#pragma once

#include "LibObservability/MetricsRegistry.h"

/// The metrics used on the hot path, looked up once at start-up.
struct daemon_metrics {
    daemon_metrics();

    Observability::metrics_registry registry;
    Observability::metric_counter &answered;
    Observability::metric_counter &partial;
    Observability::metric_counter &notRun;
    Observability::metric_counter &unknown;
    Observability::metric_counter &shardRequests;
    Observability::metric_counter &extraShardRequests;
    Observability::metric_summary &queryLatency;
};
