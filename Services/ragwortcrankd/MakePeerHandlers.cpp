#include "MakePeerHandlers.h"

#include "DaemonState.h"
#include "MembershipLoop.h"
#include "ShareExchange.h"

#include <utility>

Wire::peer_handlers makePeerHandlers(daemon_state &daemon, membership_loop &membership)
{
    Wire::peer_handlers handlers = daemon.peerHandlers;
    handlers.onGossip = [&daemon, &membership](const Membership::gossip_message &message) {
        return share_exchange::isShareMessage(message) ? daemon.shares->onMessage(message)
                                                       : membership.onGossip(message);
    };
    handlers.onReadConfiguration = [&membership](std::uint64_t aboveNumber) {
        return membership.onReadConfiguration(aboveNumber);
    };
    if (daemon.peerHandlers.onBranch) {
        handlers.onBranch = [&daemon](Wire::branch_request request, Wire::branch_stream stream) {
            daemon.peerHandlers.onBranch(std::move(request), daemon.drain.count(std::move(stream)));
        };
    }
    return handlers;
}
