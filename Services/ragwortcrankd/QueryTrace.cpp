#include "QueryTrace.h"

#include "LibObservability/TraceParent.h"
#include "LibQuery/SendAttempt.h"
#include "QueryTask.h"
#include "RunningQuery.h"
#include "ServiceShard.h"

#include <mutex>
#include <utility>

std::unique_ptr<query_trace> beginTrace(const query_task &task, Core::random_engine &random)
{
    const auto parent = Observability::parseTraceParent(task.request.traceParent);
    if (!parent || parent->sampling != Observability::trace_sampling::Sampled) {
        return nullptr;
    }
    auto trace = std::make_unique<query_trace>();
    trace->parent = *parent;
    if (task.branch) {
        trace->branch = beginSpan(*parent, "branch", random);
        trace->branch->span.tags.push_back({"shards", std::to_string(task.plan.shards.size())});
        trace->parent = trace->branch->span.context;
    }
    return trace;
}

std::string beginShardRequest(running_query &running, const Query::send_attempt &attempt, Core::random_engine &random)
{
    open_span span = beginSpan(running.trace->parent, "shard request", random);
    span.span.tags.push_back({"shard", running.state.plan.shards[attempt.shard].name});
    span.span.tags.push_back({"attempt", running.attemptPrefix + std::to_string(attempt.attempt)});
    {
        const std::scoped_lock lock(running.service->mutex);
        const Backend::replica_state &replica = running.service->state.replicas[attempt.target.replica];
        span.span.tags.push_back({"replica", replica.name});
        span.span.tags.push_back({"data_centre", replica.settings.dataCentre});
    }
    std::string traceParent = Observability::formatTraceParent(span.span.context);
    running.trace->shardRequests.emplace(attempt.attempt, std::move(span));
    return traceParent;
}

std::unique_ptr<open_span> takeShardRequest(running_query &running, std::uint64_t attempt)
{
    if (running.trace == nullptr) {
        return nullptr;
    }
    auto taken = running.trace->shardRequests.extract(attempt);
    return taken.empty() ? nullptr : std::make_unique<open_span>(std::move(taken.mapped()));
}

std::unique_ptr<open_span> beginBranchCall(const running_query &running, const std::string &peer, std::size_t shards,
                                           Core::random_engine &random)
{
    if (running.trace == nullptr) {
        return nullptr;
    }
    auto span = std::make_unique<open_span>(beginSpan(running.trace->parent, "branch call", random));
    span->span.tags.push_back({"peer", peer});
    span->span.tags.push_back({"shards", std::to_string(shards)});
    return span;
}
