#include "LibWire/PeerService.h"

#include "LibWire/BranchCodec.h"
#include "LibWire/BranchSummary.h"
#include "LibWire/GossipCodec.h"
#include "LibWire/LoopInbox.h"
#include "LibWire/PeerLoop.h"
#include "LibWire/ServedBranch.h"
#include "LibWire/TextCodec.h"

#include <kj/debug.h>

#include <utility>

namespace Wire
{
/// Sends the messages of a branch through the network's thread.
class network_target : public branch_stream::target
{
public:
    network_target(std::uint64_t branch, std::shared_ptr<served_branch> shared, std::shared_ptr<loop_inbox> inbox)
        : m_branch(branch)
        , m_shared(std::move(shared))
        , m_inbox(std::move(inbox))
    {
    }
    ~network_target() override
    {
        if (!m_shared->isOver()) {
            m_inbox->post([branch = m_branch](peer_loop &loop) { loop.service.failBranch(branch); });
        }
    }

    void send(branch_answers answers) override
    {
        if (m_shared->isOver()) {
            return;
        }
        m_inbox->post([branch = m_branch, answers = std::move(answers)](peer_loop &loop) {
            loop.service.sendAnswers(branch, answers);
        });
    }
    void end(const branch_summary &summary) override
    {
        if (m_shared->end()) {
            m_inbox->post([branch = m_branch, summary](peer_loop &loop) { loop.service.endBranch(branch, summary); });
        }
    }
    bool isCancelled() const override
    {
        return m_shared->isCancelled();
    }
    void onCancel(std::function<void()> handler) override
    {
        m_shared->onCancel(std::move(handler));
    }

private:
    std::uint64_t m_branch;
    std::shared_ptr<served_branch> m_shared;
    std::shared_ptr<loop_inbox> m_inbox;
};

peer_service::peer_service(peer_handlers handlers, std::shared_ptr<loop_inbox> inbox)
    : m_handlers(std::move(handlers))
    , m_inbox(std::move(inbox))
    , m_tasks(*this)
{
}

peer_service::~peer_service()
{
    for (auto &[number, branch] : m_branches) {
        branch.shared->cancel();
    }
}

kj::Promise<void> peer_service::gossip(GossipContext context)
{
    KJ_REQUIRE(m_handlers.onGossip != nullptr, "gossip is not served here");
    const Membership::gossip_message reply = m_handlers.onGossip(decodeGossip(context.getParams().getMessage()));
    encodeGossip(reply, context.getResults().initReply());
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::readConfiguration(ReadConfigurationContext context)
{
    KJ_REQUIRE(m_handlers.onReadConfiguration != nullptr, "the configuration is not served here");
    const configuration_reply reply = m_handlers.onReadConfiguration(context.getParams().getAboveNumber());
    auto builder = context.getResults().initReply();
    builder.setNumber(reply.number);
    builder.setBaseNumber(reply.baseNumber);
    builder.setText(textOf(reply.text));
    builder.setChecksum(reply.checksum);
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::runBranch(RunBranchContext context)
{
    KJ_REQUIRE(m_handlers.onBranch != nullptr, "branches are not served here");
    auto params = context.getParams();
    const std::uint64_t number = m_nextCall++;
    auto pair = kj::newPromiseAndFulfiller<branch_summary>();
    auto shared = std::make_shared<served_branch>();
    m_branches.emplace(number, running_branch {params.getSink(), kj::mv(pair.fulfiller), shared, 0});
    branch_request request = decodeBranchRequest(params.getRequest());
    context.releaseParams();
    context.allowCancellation();
    m_handlers.onBranch(std::move(request), branch_stream(std::make_unique<network_target>(number, shared, m_inbox)));
    // Also runs when the promise is destroyed because the root cancels or its connection closes.
    auto removeBranch = kj::defer([this, number, shared] {
        shared->cancel();
        m_branches.erase(number);
    });
    return pair.promise
        .then([context](branch_summary summary) mutable {
            auto builder = context.getResults().initSummary();
            builder.setShardRequests(summary.shardRequests);
            builder.setMessages(summary.messages);
        })
        .attach(kj::mv(removeBranch));
}

void peer_service::sendAnswers(std::uint64_t branch, const branch_answers &answers)
{
    const auto found = m_branches.find(branch);
    if (found == m_branches.end()) {
        return;
    }
    auto request = found->second.sink.answersRequest();
    encodeBranchAnswers(answers, request);
    ++found->second.messages;
    m_tasks.add(request.send().ignoreResult());
}

void peer_service::endBranch(std::uint64_t branch, const branch_summary &summary)
{
    const auto found = m_branches.find(branch);
    if (found != m_branches.end()) {
        branch_summary complete = summary;
        complete.messages = found->second.messages;
        found->second.done->fulfill(kj::mv(complete));
    }
}

void peer_service::failBranch(std::uint64_t branch)
{
    const auto found = m_branches.find(branch);
    if (found != m_branches.end()) {
        found->second.done->reject(KJ_EXCEPTION(FAILED, "the branch was abandoned"));
    }
}

kj::Promise<void> peer_service::resolveRequest(ResolveRequestContext context)
{
    KJ_REQUIRE(m_handlers.onResolve != nullptr, "requests are not resolved here");
    const std::uint64_t number = m_nextCall++;
    auto pair = kj::newPromiseAndFulfiller<resolve_reply>();
    m_resolves.emplace(number, kj::mv(pair.fulfiller));
    const auto params = context.getParams();
    const resolve_question question {stringOf(params.getRequestId()), params.getFingerprint()};
    m_handlers.onResolve(question, [number, inbox = m_inbox](resolve_reply reply) {
        inbox->post(
            [number, reply = std::move(reply)](peer_loop &loop) { loop.service.completeResolve(number, reply); });
    });
    context.allowCancellation();
    return pair.promise
        .then([context](const resolve_reply &reply) mutable {
            context.getResults().setState(reply.state);
            context.getResults().setAnswer(textOf(reply.answer));
            context.getResults().setStatus(reply.status);
        })
        .attach(kj::defer([this, number] { m_resolves.erase(number); }));
}

void peer_service::completeResolve(std::uint64_t call, resolve_reply reply)
{
    const auto found = m_resolves.find(call);
    if (found != m_resolves.end()) {
        found->second->fulfill(kj::mv(reply));
    }
}

kj::Promise<void> peer_service::ping(PingContext)
{
    return kj::READY_NOW;
}

void peer_service::taskFailed(kj::Exception &&)
{
    // The root has disconnected; its call is cancelled when the connection closes.
}
} // namespace Wire
