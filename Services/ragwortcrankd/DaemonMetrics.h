#pragma once

#include "LibObservability/MetricsRegistry.h"

/// The metrics that the hot path uses, looked up once.
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
