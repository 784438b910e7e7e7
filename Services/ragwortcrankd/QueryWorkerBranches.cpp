#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibObservability/TraceParent.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardRequests.h"
#include "LibWire/BranchRequest.h"
#include "LibWire/BranchSummary.h"
#include "LibWire/PeerNetwork.h"
#include "MembershipLoop.h"
#include "QueryWorker.h"
#include "RunningQuery.h"
#include "ServiceShard.h"

#include <algorithm>
#include <utility>

static Wire::branch_request makeRequest(const running_query &running,
                                        const std::vector<const Query::send_attempt *> &sends)
{
    const Query::query_plan &plan = running.state.plan;
    Wire::branch_request request;
    request.requestId = plan.requestId;
    request.service = plan.service;
    request.route = plan.route;
    request.team = plan.team;
    request.snapshot = plan.snapshot;
    request.version = plan.version;
    request.text = running.task.request.text;
    request.traceParent = running.task.request.traceParent;
    request.timeRemaining = sends.front()->timeRemaining;
    request.idempotent = plan.idempotent;
    for (const Query::send_attempt *send : sends) {
        request.shards.push_back(plan.shards[send->shard].name);
    }
    request.dataCentres.assign(plan.dataCentres.begin(), plan.dataCentres.end());
    return request;
}

void query_worker::startBranch(std::uint64_t query, running_query &running, const std::string &peer,
                               const std::vector<const Query::send_attempt *> &sends)
{
    const std::uint64_t number = m_nextBranch++;
    open_branch &branch = m_branches[number];
    branch.query = query;
    for (const Query::send_attempt *send : sends) {
        branch.attempts[running.state.plan.shards[send->shard].name] = send->attempt;
    }
    countRequests(branch, static_cast<std::uint32_t>(sends.size()));
    running.branches.push_back(number);
    const std::string address = m_daemon.membership == nullptr ? "" : m_daemon.membership->peerAddress(peer);
    if (m_daemon.peers == nullptr || address.empty()) {
        // Posted, since the caller is still applying the effects that started this branch.
        post([this, number] {
            endBranch(number, Core::error {Core::error_code::NotFound, "the peer's address is unknown"});
        });
        return;
    }
    branch.span = beginBranchCall(running, peer, sends.size(), m_random);
    Wire::branch_request request = makeRequest(running, sends);
    if (branch.span != nullptr) {
        request.traceParent = Observability::formatTraceParent(branch.span->span.context);
    }
    request.configurationNumber = m_daemon.configuration.current()->number;
    branch.call = m_daemon.peers->startBranch(
        address, std::move(request),
        [this, number](Wire::branch_answers answers) {
            const auto shared = std::make_shared<Wire::branch_answers>(std::move(answers));
            post([this, number, shared] { onBranchAnswers(number, std::move(*shared)); });
        },
        [this, number](const Core::result<Wire::branch_summary> &end) {
            post([this, number, end] { endBranch(number, end); });
        });
}

/// Replaces the number of requests that the query counts for this branch.
void query_worker::countRequests(open_branch &branch, std::uint32_t requests)
{
    const auto running = m_queries.find(branch.query);
    if (running != m_queries.end()) {
        std::uint32_t &total = running->second->state.branchRequests;
        total = total - branch.countedRequests + requests;
    }
    branch.countedRequests = requests;
}

void query_worker::onBranchAnswers(std::uint64_t number, Wire::branch_answers answers)
{
    if (const auto branch = m_branches.find(number); branch != m_branches.end()) {
        branch->second.hasReported = true;
        countRequests(branch->second, answers.shardRequests);
    }
    // Ending an attempt can finish the query and remove the branch, so the branch is looked up again each time.
    const auto take = [this, number](const std::string &shard, auto &&makeEnd) {
        const auto found = m_branches.find(number);
        if (found == m_branches.end()) {
            return;
        }
        const auto attempt = found->second.attempts.find(shard);
        if (attempt == found->second.attempts.end()) {
            return;
        }
        const std::uint64_t id = attempt->second;
        const std::uint64_t query = found->second.query;
        found->second.attempts.erase(attempt);
        endAttempt(query, id, makeEnd(query));
    };
    for (Wire::branch_shard_answer &answer : answers.answers) {
        take(answer.shard, [this, &answer](std::uint64_t query) -> attempt_end {
            Query::shard_answer decoded;
            const auto running = m_queries.find(query);
            // The peer network has already matched the answer to the branch, and therefore to the request.
            decoded.requestId = running == m_queries.end() ? "" : running->second->state.plan.requestId;
            decoded.snapshot = std::move(answer.snapshot);
            decoded.shard = answer.shard;
            decoded.items = std::move(answer.items);
            return decoded;
        });
    }
    for (const Wire::branch_shard_failure &failure : answers.failures) {
        take(failure.shard,
             [&failure](std::uint64_t) -> attempt_end { return Backend::failed_attempt(failure.failure); });
    }
}

static Backend::attempt_failure toAttemptFailure(const Core::result<Wire::branch_summary> &end)
{
    if (end) {
        // The branch ended without a result for this shard; the request may have run.
        return Backend::attempt_failure::ConnectionLost;
    }
    switch (end.error().code) {
    case Core::error_code::NotFound:
        return Backend::attempt_failure::ConnectFailed;
    case Core::error_code::TimedOut:
        return Backend::attempt_failure::ResponseTimeout;
    default:
        return Backend::attempt_failure::ConnectionLost;
    }
}

void query_worker::endBranch(std::uint64_t number, const Core::result<Wire::branch_summary> &end)
{
    const auto found = m_branches.find(number);
    if (found == m_branches.end()) {
        return;
    }
    open_branch ended = std::move(found->second);
    removeBranch(number);
    if (end) {
        countRequests(ended, end.value().shardRequests);
    } else if (!ended.hasReported && toAttemptFailure(end) == Backend::attempt_failure::ConnectFailed) {
        countRequests(ended, 0); // The connection to the peer failed, so the branch sent no requests.
    }
    if (ended.span != nullptr) {
        endSpan(m_daemon.traces, std::move(*ended.span), end ? "ended" : end.error().message);
    }
    for (const auto &[shard, attempt] : ended.attempts) {
        endAttempt(ended.query, attempt, Backend::failed_attempt(toAttemptFailure(end)));
    }
}

void query_worker::removeBranch(std::uint64_t number)
{
    const auto found = m_branches.find(number);
    const auto running = m_queries.find(found->second.query);
    if (running != m_queries.end()) {
        std::erase(running->second->branches, number);
    }
    m_branches.erase(found);
}

void query_worker::cancelUnneededBranches(running_query &running)
{
    const std::vector<std::uint64_t> branches = running.branches;
    for (const std::uint64_t number : branches) {
        const open_branch &branch = m_branches.at(number);
        const bool unneeded =
            std::all_of(branch.attempts.begin(), branch.attempts.end(), [this, &branch](const auto &attempt) {
                return m_cancelled.contains({branch.query, attempt.second});
            });
        if (!unneeded) {
            continue;
        }
        if (m_daemon.peers != nullptr && branch.call != 0) {
            m_daemon.peers->cancelBranch(branch.call);
        }
        endBranch(number, Core::error {Core::error_code::Unavailable, "cancelled"});
    }
}

void query_worker::abandon(std::uint64_t query)
{
    const auto found = m_queries.find(query);
    if (found == m_queries.end()) {
        return;
    }
    running_query &running = *found->second;
    std::unique_lock lock(running.service->mutex);
    Query::query_effects effects =
        Query::cancelQuery(running.state, running.service->state, std::chrono::steady_clock::now());
    lock.unlock();
    applyEffects(query, std::move(effects));
}

void query_worker::streamAnswer(std::uint64_t query, running_query &running, std::size_t shard,
                                Query::shard_answer answer)
{
    if (!running.task.branch) {
        return;
    }
    m_unsentStreams.push_back(query);
    running.unsentAnswers.answers.push_back(
        {running.state.plan.shards[shard].name, std::move(answer.snapshot), std::move(answer.items)});
}

void query_worker::streamFailures(std::uint64_t query, running_query &running, const Query::query_effects &effects)
{
    if (!running.task.branch || effects.failedShards.empty()) {
        return;
    }
    m_unsentStreams.push_back(query);
    for (const Query::failed_shard &lost : effects.failedShards) {
        running.unsentAnswers.failures.push_back({running.state.plan.shards[lost.shard].name, lost.failure});
    }
}

/// Sends the partial results and failures collected in one loop iteration, as one message for each branch.
void query_worker::flushStreams()
{
    for (const std::uint64_t query : std::exchange(m_unsentStreams, {})) {
        const auto found = m_queries.find(query);
        if (found == m_queries.end()) {
            continue; // finish() has already sent the rest.
        }
        Wire::branch_answers &unsentAnswers = found->second->unsentAnswers;
        if (!unsentAnswers.answers.empty() || !unsentAnswers.failures.empty()) {
            unsentAnswers.shardRequests = Query::shardRequestsOf(found->second->state);
            found->second->task.branch->send(std::exchange(unsentAnswers, {}));
        }
    }
}
