#include "LibWire/BranchCall.h"

#include "LibWire/BranchCodec.h"
#include "LibWire/PeerLink.h"

#include <utility>

namespace Wire
{
/// Receives the branch's messages. The connection may keep the sink alive after the branch call was destroyed.
/// Messages that arrive then are ignored.
class branch_call::sink final : public Schema::BranchSink::Server
{
public:
    /// `call` points to the branch call; the call sets the pointer to null when it is destroyed.
    explicit sink(std::shared_ptr<branch_call *> call)
        : m_call(std::move(call))
    {
    }

    kj::Promise<void> answers(AnswersContext context) override
    {
        if (*m_call != nullptr) {
            (*m_call)->receive(decodeBranchAnswers(context.getParams()));
        }
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<branch_call *> m_call;
};

branch_call::branch_call(kj::Own<peer_link> link, branch_request request, std::function<void(branch_answers)> onAnswers,
                         completion onEnd)
    : m_link(kj::mv(link))
    , m_request(kj::heap<branch_request>(std::move(request)))
    , m_onAnswers(std::move(onAnswers))
    , m_end(std::move(onEnd))
    , m_self(std::make_shared<branch_call *>(this))
    , m_task(kj::READY_NOW)
{
}

branch_call::~branch_call()
{
    *m_self = nullptr;
}

void branch_call::dismiss()
{
    m_onAnswers = nullptr;
    m_end.dismiss();
}

void branch_call::start(kj::Timer &timer, std::function<void()> finished)
{
    const kj::Duration remaining = std::max<std::int64_t>(m_request->timeRemaining.count(), 0) * kj::NANOSECONDS;
    auto running = m_link->connected().then([this] { return m_link->watch(send(m_link->peer())); });
    m_task = timer.timeoutAfter(remaining, kj::mv(running))
                 .then([this] { m_end.finish(m_summary); },
                       [this](kj::Exception &&exception) { m_end.finish(toError(exception)); })
                 .then([finished = std::move(finished)] { finished(); })
                 .eagerlyEvaluate(nullptr);
}

kj::Promise<void> branch_call::send(Schema::Peer::Client &peer)
{
    auto request = peer.runBranchRequest();
    encodeBranchRequest(*m_request, request.initRequest());
    request.setSink(kj::heap<sink>(m_self));
    m_sent = true;
    return request.send().then([this](capnp::Response<Schema::Peer::RunBranchResults> &&response) {
        m_summary.shardRequests = response.getSummary().getShardRequests();
        return waitForMessages(response.getSummary().getMessages());
    });
}

kj::Promise<void> branch_call::waitForMessages(std::uint32_t count)
{
    if (m_messages >= count) {
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_expectedMessages = count;
    m_allReceived = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

void branch_call::receive(branch_answers answers)
{
    ++m_messages;
    if (m_onAnswers) {
        m_onAnswers(std::move(answers));
    }
    if (m_expectedMessages != 0 && m_messages >= m_expectedMessages) {
        m_allReceived->fulfill();
    }
}

Core::error branch_call::toError(const kj::Exception &exception) const
{
    const std::string message(exception.getDescription().cStr());
    if (!m_sent) {
        return {Core::error_code::NotFound, "no connection to the peer: " + message};
    }
    if (exception.getType() == kj::Exception::Type::OVERLOADED) {
        return {Core::error_code::TimedOut, "the branch did not end in time"};
    }
    return {Core::error_code::Unavailable, "the branch was lost: " + message};
}
} // namespace Wire
