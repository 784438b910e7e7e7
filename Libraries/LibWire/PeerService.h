#pragma once

#include "LibWire/Peer.capnp.h"
#include "LibWire/PeerHandlers.h"

#include <kj/async.h>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace Wire
{
struct branch_answers;
struct branch_summary;
class loop_inbox;
class served_branch;

/// Serves the peers' calls. Used only on the network's thread.
class peer_service final : public Schema::Peer::Server, private kj::TaskSet::ErrorHandler
{
public:
    peer_service(peer_handlers handlers, std::shared_ptr<loop_inbox> inbox);
    ~peer_service();

    /// Sends a branch's partial results and failures to its root, unless the root has cancelled the branch.
    void sendAnswers(std::uint64_t branch, const branch_answers &answers);
    void endBranch(std::uint64_t branch, const branch_summary &summary);
    /// Fails the root's call unless the branch has ended.
    void failBranch(std::uint64_t branch);
    void completeResolve(std::uint64_t call, resolve_reply reply);

protected:
    kj::Promise<void> gossip(GossipContext context) override;
    kj::Promise<void> readConfiguration(ReadConfigurationContext context) override;
    kj::Promise<void> runBranch(RunBranchContext context) override;
    kj::Promise<void> resolveRequest(ResolveRequestContext context) override;
    kj::Promise<void> ping(PingContext context) override;

private:
    struct running_branch {
        Schema::BranchSink::Client sink;
        kj::Own<kj::PromiseFulfiller<branch_summary>> done;
        std::shared_ptr<served_branch> shared;
        std::uint32_t messages = 0;
    };

    void taskFailed(kj::Exception &&exception) override;

    peer_handlers m_handlers;
    std::shared_ptr<loop_inbox> m_inbox;
    std::unordered_map<std::uint64_t, running_branch> m_branches;
    std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<resolve_reply>>> m_resolves;
    std::uint64_t m_nextCall = 1;
    kj::TaskSet m_tasks;
};
} // namespace Wire
