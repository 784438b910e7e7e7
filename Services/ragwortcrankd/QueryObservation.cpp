#include "QueryObservation.h"

#include "DaemonState.h"
#include "LibObservability/Log.h"
#include "LibObservability/TraceParent.h"
#include "LibQuery/QueryRequest.h"
#include "LibQuery/QueryResult.h"

#include <random>

/// Returns the random engine for trace identifiers. Each thread has its own engine, so that the threads serving callers
/// do not contend for a lock.
static Core::random_engine &traceRandom()
{
    thread_local Core::random_engine engine(std::random_device {}());
    return engine;
}

query_observation beginObservation(daemon_state &daemon, Query::query_request &request)
{
    using Observability::trace_sampling;
    Core::random_engine &random = traceRandom();
    query_observation observation;
    const auto callerContext = Observability::parseTraceParent(request.traceParent);
    if (callerContext) {
        observation.context = Observability::childOf(*callerContext, random);
        observation.parentSpanId = callerContext->spanId;
    } else {
        const double draw = std::uniform_real_distribution<double>(0.0, 1.0)(random);
        const bool sampled = draw < daemon.daemonSettings.traceSampleFraction;
        observation.context =
            Observability::startTrace(random, sampled ? trace_sampling::Sampled : trace_sampling::NotSampled);
    }
    observation.startedAt = std::chrono::system_clock::now();
    observation.start = std::chrono::steady_clock::now();
    observation.name = request.service + "/" + request.route;
    observation.team = request.team;
    request.traceParent = Observability::formatTraceParent(observation.context);
    return observation;
}

static void countOutcome(daemon_metrics &metrics, Query::outcome outcome)
{
    switch (outcome) {
    case Query::outcome::Answered:
        metrics.answered.add();
        return;
    case Query::outcome::Partial:
        metrics.partial.add();
        return;
    case Query::outcome::NotRun:
        metrics.notRun.add();
        return;
    case Query::outcome::Unknown:
        metrics.unknown.add();
        return;
    }
}

void endObservation(daemon_state &daemon, const query_observation &observation, const Query::query_result &result)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    countOutcome(daemon.metrics, result.result);
    daemon.metrics.queryLatency.add(now - observation.start, now);
    daemon.metrics.shardRequests.add(result.shardRequests);
    if (result.shardRequests > result.shardsTotal) {
        daemon.metrics.extraShardRequests.add(result.shardRequests - result.shardsTotal);
    }
    const std::string outcome = Query::outcomeName(result.result);
    daemon.traces.record({observation.context,
                          observation.parentSpanId,
                          "query",
                          observation.startedAt,
                          now - observation.start,
                          {{"route", observation.name}, {"team", observation.team}, {"outcome", outcome}}});
    if (result.result != Query::outcome::Answered) {
        Observability::logEvent(Observability::log_level::Info, "query_incomplete",
                                {{"request_id", result.requestId},
                                 {"trace_id", observation.context.traceId},
                                 {"route", observation.name},
                                 {"team", observation.team},
                                 {"outcome", outcome},
                                 {"coverage", result.coverage},
                                 {"reason", result.reason}});
    }
}
