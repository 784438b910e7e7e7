#pragma once

#include "LibWire/BranchAnswers.h"
#include "LibWire/BranchSummary.h"
#include "LibWire/CallGuard.h"
#include "LibWire/Peer.capnp.h"

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Wire
{
class peer_link;
struct branch_request;

/// A call that runs one branch on a peer, with this daemon as the root. Destroying the object cancels the call.
class branch_call
{
public:
    using completion = std::function<void(Core::result<branch_summary>)>;

    branch_call(kj::Own<peer_link> link, branch_request request, std::function<void(branch_answers)> onAnswers,
                completion onEnd);
    ~branch_call();
    KJ_DISALLOW_COPY(branch_call);

    /// Starts the call. `finished` runs after `onEnd` and must not destroy this object synchronously.
    void start(kj::Timer &timer, std::function<void()> finished);
    /// Discards both callbacks, so that neither runs any more.
    void dismiss();

private:
    class sink;
    kj::Promise<void> send(Schema::Peer::Client &peer);
    kj::Promise<void> waitForMessages(std::uint32_t count);
    void receive(branch_answers answers);
    Core::error toError(const kj::Exception &exception) const;

    kj::Own<peer_link> m_link;
    kj::Own<branch_request> m_request;
    std::function<void(branch_answers)> m_onAnswers;
    call_guard<branch_summary> m_end;
    bool m_sent = false; ///< Whether bytes of the request may have been sent.
    branch_summary m_summary;
    std::uint32_t m_messages = 0;
    std::uint32_t m_expectedMessages = 0;
    kj::Own<kj::PromiseFulfiller<void>> m_allReceived;
    std::shared_ptr<branch_call *> m_self; ///< Shared with the sink; null once this object is destroyed.
    kj::Promise<void> m_task;
};
} // namespace Wire
