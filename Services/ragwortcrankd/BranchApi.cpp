#include "BranchApi.h"

#include "DaemonState.h"
#include "LibWire/BranchRequest.h"
#include "LibWire/BranchStream.h"
#include "QueryTask.h"
#include "QueryWorker.h"

#include <utility>

static query_task makeTask(Wire::branch_request request, Wire::branch_stream stream)
{
    query_task task;
    task.request.requestId = request.requestId;
    task.request.service = request.service;
    task.request.route = request.route;
    task.request.team = request.team;
    task.request.text = std::move(request.text);
    task.request.traceParent = std::move(request.traceParent);
    task.plan.requestId = std::move(request.requestId);
    task.plan.service = std::move(request.service);
    task.plan.route = std::move(request.route);
    task.plan.team = std::move(request.team);
    task.plan.snapshot = std::move(request.snapshot);
    task.plan.version = std::move(request.version);
    for (std::string &shard : request.shards) {
        // The weights of shards are known and needed only at the root.
        task.plan.shards.push_back({std::move(shard), 1.0});
    }
    task.plan.dataCentres.insert(request.dataCentres.begin(), request.dataCentres.end());
    task.plan.deadline = std::chrono::steady_clock::now() + request.timeRemaining;
    task.plan.idempotent = request.idempotent;
    task.plan.ownReplicasOnly = true;
    task.branch.emplace(std::move(stream));
    return task;
}

void serveBranches(daemon_state &daemon, std::vector<std::unique_ptr<query_worker>> &workers)
{
    // The handler runs only on the single thread of the network, so `next` needs no lock.
    daemon.peerHandlers.onBranch = [&workers, next = std::size_t {0}](Wire::branch_request request,
                                                                      Wire::branch_stream stream) mutable {
        workers[next++ % workers.size()]->submit(makeTask(std::move(request), std::move(stream)));
    };
}
