#include "AtMostOnceGate.h"

#include "AnswerCodec.h"
#include "AtMostOnceShard.h"
#include "DaemonState.h"
#include "LibPlatform/HttpResponse.h"
#include "LibQuery/AtMostOnceEvents.h"
#include "LibQuery/QueryRequest.h"
#include "LibQuery/RequestIdentityText.h"
#include "LibWire/PeerNetwork.h"
#include "LibWire/ResolveQuestion.h"
#include "LibWire/ResolveReply.h"
#include "MembershipLoop.h"

#include <boost/container_hash/hash.hpp>

#include <utility>

using Query::at_most_once_decision;

at_most_once_gate::at_most_once_gate(daemon_state &daemon)
    : m_daemon(daemon)
    , m_startedAt(std::chrono::steady_clock::now())
    , m_startedAtWallTime(std::chrono::system_clock::now())
{
    for (std::unique_ptr<at_most_once_shard> &shard : m_shards) {
        shard = std::make_unique<at_most_once_shard>();
        shard->registry.virtualMachine = daemon.daemonSettings.virtualMachine;
        shard->registry.incarnation = daemon.incarnation;
    }
}

at_most_once_gate::~at_most_once_gate() = default;

at_most_once_shard &at_most_once_gate::findShard(const std::string &requestId)
{
    return *m_shards[boost::hash<std::string>()(requestId) % shardCount];
}

Core::wall_time at_most_once_gate::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now() - m_startedAt;
    return m_startedAtWallTime + std::chrono::duration_cast<Core::wall_time::duration>(sinceStart);
}

/// Hashes the content of a request and its team. The hash must be the same on every daemon, since daemons compare it
/// when one resolves a retry for another.
static std::uint64_t computeFingerprint(const Query::query_request &request)
{
    std::size_t hash = 0;
    for (const std::string *part :
         {&request.team, &request.service, &request.route, &request.text, &request.shardKey}) {
        boost::hash_combine(hash, *part);
    }
    return hash;
}

static Platform::http_response makeResponse(const std::string &requestId, const at_most_once_answer &answer)
{
    Platform::http_response response;
    switch (answer.decision) {
    case at_most_once_decision::Replay:
        response.status = answer.status;
        response.body = answer.body;
        return response;
    case at_most_once_decision::NotRun:
        return encodeRefusal(409, requestId, "the request was refused for good; send it under a new id");
    case at_most_once_decision::Mismatch:
        return encodeRefusal(409, requestId, "the request id was used for another request");
    case at_most_once_decision::Malformed:
        return encodeRefusal(400, requestId,
                             "X-Request-Id must be INCARNATION.TIME.RANDOM with the incarnation from /v1/entries of "
                             "the daemon that is called, and the present time in milliseconds since 1970");
    case at_most_once_decision::Start:
    case at_most_once_decision::Wait:
    case at_most_once_decision::AskNamedDaemon:
    case at_most_once_decision::Unknown:
        break;
    }
    return encodeUnknown(requestId, "what became of the request cannot be found out any more");
}

void at_most_once_gate::begin(const Query::query_request &request, Platform::http_responder responder,
                              const std::function<void(Platform::http_responder)> &start)
{
    const std::string id = request.requestId;
    const std::uint64_t fingerprint = computeFingerprint(request);
    at_most_once_shard &shard = findShard(id);
    std::unique_lock lock(shard.mutex);
    at_most_once_answer resolved;
    resolved.decision = Query::beginAtMostOnce(shard.registry, id, fingerprint, now());
    if (resolved.decision == at_most_once_decision::Start) {
        lock.unlock();
        start(std::move(responder));
        return;
    }
    // std::function requires a copyable target, so a shared pointer holds the responder.
    const auto shared = std::make_shared<Platform::http_responder>(std::move(responder));
    const auto answer = [shared, id](const at_most_once_answer &found) {
        shared->respond(makeResponse(id, found));
    };
    if (resolved.decision == at_most_once_decision::Wait) {
        shard.waiters[id].emplace_back(answer);
        return;
    }
    if (resolved.decision == at_most_once_decision::Replay) {
        resolved.status = shard.registry.entries.at(id).status;
        resolved.body = shard.registry.entries.at(id).answer;
    }
    lock.unlock();
    if (resolved.decision == at_most_once_decision::AskNamedDaemon) {
        askNamedDaemon(id, fingerprint, answer);
        return;
    }
    answer(resolved);
}

void at_most_once_gate::finish(const std::string &requestId, const Platform::http_response &response)
{
    at_most_once_shard &shard = findShard(requestId);
    std::vector<std::function<void(at_most_once_answer)>> waiters;
    {
        const std::scoped_lock lock(shard.mutex);
        Query::finishAtMostOnce(shard.registry, requestId, response.status, response.body);
        const auto found = shard.waiters.find(requestId);
        if (found != shard.waiters.end()) {
            waiters = std::move(found->second);
            shard.waiters.erase(found);
        }
    }
    for (const std::function<void(at_most_once_answer)> &waiter : waiters) {
        waiter({at_most_once_decision::Replay, response.status, response.body});
    }
}

void at_most_once_gate::resolve(const std::string &requestId, std::uint64_t fingerprint,
                                const std::function<void(at_most_once_answer)> &reply)
{
    at_most_once_shard &shard = findShard(requestId);
    at_most_once_answer resolved;
    {
        const std::scoped_lock lock(shard.mutex);
        resolved.decision = Query::resolveAtMostOnce(shard.registry, requestId, fingerprint, now());
        if (resolved.decision == at_most_once_decision::Wait) {
            shard.waiters[requestId].push_back(reply);
            return;
        }
        if (resolved.decision == at_most_once_decision::Replay) {
            resolved.status = shard.registry.entries.at(requestId).status;
            resolved.body = shard.registry.entries.at(requestId).answer;
        }
    }
    reply(resolved);
}

void at_most_once_gate::askNamedDaemon(const std::string &requestId, std::uint64_t fingerprint,
                                       std::function<void(at_most_once_answer)> answer)
{
    const auto identity = Query::parseRequestIdentity(requestId);
    const std::string address = identity ? m_daemon.membership->peerAddress(identity->virtualMachine) : std::string();
    if (address.empty() || identity->virtualMachine == m_daemon.daemonSettings.virtualMachine) {
        answer({at_most_once_decision::Unknown, 0, {}});
        return;
    }
    m_daemon.peers->resolveRequest(address, {requestId, fingerprint},
                                   [answer = std::move(answer)](Core::result<Wire::resolve_reply> reply) {
                                       if (!reply) {
                                           answer({at_most_once_decision::Unknown, 0, {}});
                                           return;
                                       }
                                       answer({static_cast<at_most_once_decision>(reply.value().state),
                                               reply.value().status, std::move(reply.value().answer)});
                                   });
}
