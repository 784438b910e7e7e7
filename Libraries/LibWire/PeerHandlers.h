#pragma once

#include "LibMembership/GossipMessage.h"
#include "LibWire/BranchRequest.h"
#include "LibWire/BranchStream.h"
#include "LibWire/ConfigurationReply.h"
#include "LibWire/ResolveQuestion.h"
#include "LibWire/ResolveReply.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Wire
{
/// What the daemon does with peers' requests. The handlers run on the network's thread and must not block. A missing
/// handler refuses the request.
struct peer_handlers {
    std::function<Membership::gossip_message(const Membership::gossip_message &)> onGossip;
    std::function<void(branch_request, branch_stream)> onBranch;
    /// `reply` may be called later, from any thread, once.
    std::function<void(const resolve_question &question, std::function<void(resolve_reply)> reply)> onResolve;
    /// Returns what is above `aboveNumber`, as a patch against it where it still knows that document.
    std::function<configuration_reply(std::uint64_t aboveNumber)> onReadConfiguration;
};
} // namespace Wire
