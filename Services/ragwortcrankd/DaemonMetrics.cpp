#include "DaemonMetrics.h"

static constexpr const char *queriesHelp = "Queries of callers that have ended, by outcome.";

daemon_metrics::daemon_metrics()
    : answered(registry.counter("ragwortcrank_queries_total", queriesHelp, {{"outcome", "answered"}}))
    , partial(registry.counter("ragwortcrank_queries_total", queriesHelp, {{"outcome", "partial"}}))
    , notRun(registry.counter("ragwortcrank_queries_total", queriesHelp, {{"outcome", "not_run"}}))
    , unknown(registry.counter("ragwortcrank_queries_total", queriesHelp, {{"outcome", "unknown"}}))
    , shardRequests(registry.counter("ragwortcrank_shard_requests_total", "Requests for shards of callers' queries."))
    , extraShardRequests(
          registry.counter("ragwortcrank_extra_shard_requests_total",
                           "Requests for shards beyond the first of each: hedges, retries, warm-up copies."))
    , queryLatency(registry.summary("ragwortcrank_query_seconds", "Time from a query's arrival to its answer."))
{
}
