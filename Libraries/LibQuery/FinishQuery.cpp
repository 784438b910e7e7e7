#include "LibQuery/FinishQuery.h"

#include "LibBackend/ServiceState.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/Coverage.h"
#include "LibQuery/MergeItems.h"
#include "LibQuery/QueryState.h"
#include "LibQuery/ShardFailure.h"
#include "LibQuery/ShardRequests.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Query
{
static outcome outcomeOf(const query_state &query)
{
    if (query.shardsAnswered == query.shards.size()) {
        return outcome::Answered;
    }
    if (query.shardsAnswered > 0) {
        return outcome::Partial;
    }
    const bool mayHaveRun = std::any_of(query.shards.begin(), query.shards.end(), [](const shard_state &shard) {
        return shard.mayHaveRun || !shard.running.empty();
    });
    return mayHaveRun ? outcome::Unknown : outcome::NotRun;
}

static std::string reasonFor(const query_state &query, const query_result &result, const std::string &reason)
{
    if (result.result == outcome::Answered) {
        return {};
    }
    if (result.coverage >= query.plan.minimumCoverage) {
        return reason;
    }
    std::ostringstream text;
    text << reason << "; coverage " << result.coverage << " is below the route's minimum of "
         << query.plan.minimumCoverage;
    return text.str();
}

static void closeShards(query_state &query, Backend::service_state &service, query_effects &effects,
                        Core::time_point now)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        shard_state &shard = query.shards[index];
        if (shard.open) {
            shard.mayHaveRun = shard.mayHaveRun || !shard.running.empty();
            shard.open = false;
            effects.failedShards.push_back({index, shardFailureOf(shard)});
        }
        cancelRunning(query, service, index, effects, now);
    }
    service.load.waiting -= query.shardsWaiting;
    query.shardsWaiting = 0;
    query.finished = true;
    query.wakeAt.reset();
    effects.wakeAt.reset();
}

void finishQuery(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                 const std::string &reason)
{
    query_result result;
    result.requestId = query.plan.requestId;
    result.result = outcomeOf(query);
    result.snapshot = query.plan.snapshot;
    result.coverage = coverageOf(query);
    result.errorAnswers = query.errorAnswers;
    result.shardsAnswered = query.shardsAnswered;
    result.shardsTotal = static_cast<std::uint32_t>(query.shards.size());
    result.shardRequests = shardRequestsOf(query);
    result.reason = reasonFor(query, result, reason);
    closeShards(query, service, effects, now);
    sortItems(query.items);
    result.items = std::move(query.items);
    effects.finished = std::move(result);
}

void restartQuery(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now)
{
    closeShards(query, service, effects, now);
    effects.restart = true;
}
} // namespace Query
