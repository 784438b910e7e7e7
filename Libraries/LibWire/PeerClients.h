#pragma once

#include "LibWire/CallGuard.h"
#include "LibWire/PeerNetwork.h"

#include <kj/async-io.h>

#include <map>
#include <string>
#include <unordered_map>

namespace Wire
{
class branch_call;
class peer_link;
struct peer_network_options;

/// Makes this daemon's calls to its peers. Used only on the network's thread.
class peer_clients final : private kj::TaskSet::ErrorHandler
{
public:
    peer_clients(kj::AsyncIoProvider &provider, const peer_network_options &options);
    ~peer_clients();
    KJ_DISALLOW_COPY(peer_clients);

    void sendGossip(const std::string &address, const Membership::gossip_message &message,
                    peer_network::completion<Membership::gossip_message> done);
    void readConfiguration(const std::string &address, std::uint64_t aboveNumber,
                           peer_network::completion<configuration_reply> done);
    void resolveRequest(const std::string &address, const resolve_question &question,
                        peer_network::completion<resolve_reply> done);
    void startBranch(std::uint64_t number, const std::string &address, branch_request request,
                     std::function<void(branch_answers)> onAnswers, peer_network::completion<branch_summary> onEnd);
    void cancelBranch(std::uint64_t number);

private:
    kj::Own<peer_link> linkTo(const std::string &address);
    void destroyBranch(std::uint64_t number);
    void taskFailed(kj::Exception &&exception) override;
    template<typename Value, typename Send>
    void call(const std::string &address, peer_network::completion<Value> done, Send send);

    kj::AsyncIoProvider &m_provider;
    const peer_network_options &m_options;
    std::map<std::string, kj::Own<peer_link>> m_links; ///< By address.
    std::unordered_map<std::uint64_t, kj::Own<branch_call>> m_branches;
    kj::TaskSet m_tasks;
};
} // namespace Wire
