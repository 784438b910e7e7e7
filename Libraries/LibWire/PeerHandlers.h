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
/// The daemon's handlers for peers' requests. They run on the network's thread and must not block. A request whose
/// handler is not set is rejected.
struct peer_handlers {
    std::function<Membership::gossip_message(const Membership::gossip_message &)> onGossip;
    std::function<void(branch_request, branch_stream)> onBranch;
    /// `reply` may be called asynchronously, from any thread, once.
    std::function<void(const resolve_question &question, std::function<void(resolve_reply)> reply)> onResolve;
    /// Returns the configuration if its number is above `aboveNumber`, as a patch if the document with that number is
    /// still available.
    std::function<configuration_reply(std::uint64_t aboveNumber)> onReadConfiguration;
};
} // namespace Wire
