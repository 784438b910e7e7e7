#include "LibWire/PeerClients.h"

#include "LibWire/BranchCall.h"
#include "LibWire/GossipCodec.h"
#include "LibWire/PeerLink.h"
#include "LibWire/PeerNetworkOptions.h"
#include "LibWire/TextCodec.h"

#include <utility>

namespace Wire
{
peer_clients::peer_clients(kj::AsyncIoProvider &provider, const peer_network_options &options)
    : m_provider(provider)
    , m_options(options)
    , m_tasks(*this)
{
}

peer_clients::~peer_clients() = default;

kj::Own<peer_link> peer_clients::linkTo(const std::string &address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end() && !found->second->isBroken()) {
        return kj::addRef(*found->second);
    }
    auto link = kj::refcounted<peer_link>(m_provider, address, m_options);
    m_links[address] = kj::addRef(*link);
    return link;
}

static Core::error toError(const kj::Exception &exception)
{
    const std::string message(exception.getDescription().cStr());
    if (exception.getType() == kj::Exception::Type::OVERLOADED) {
        return {Core::error_code::TimedOut, "the peer gave no answer in time"};
    }
    return {Core::error_code::Unavailable, "the peer cannot be reached: " + message};
}

/// Calls `send` with the connection to a peer and passes its result to `done`, within the timeout of a call.
template<typename Value, typename Send>
void peer_clients::call(const std::string &address, peer_network::completion<Value> done, Send send)
{
    auto guard = kj::heap<call_guard<Value>>(std::move(done));
    call_guard<Value> &end = *guard;
    kj::Own<peer_link> link = linkTo(address);
    peer_link &connection = *link;
    auto running = connection.connected().then(
        [&connection, send = std::move(send)]() mutable { return connection.watch<Value>(send(connection.peer())); });
    const kj::Duration timeout = m_options.callTimeout.count() * kj::MILLISECONDS;
    m_tasks.add(m_provider.getTimer()
                    .timeoutAfter(timeout, kj::mv(running))
                    .then([&end](Value value) { end.finish(std::move(value)); },
                          [&end](kj::Exception &&exception) { end.finish(toError(exception)); })
                    .attach(kj::mv(guard), kj::mv(link)));
}

void peer_clients::sendGossip(const std::string &address, const Membership::gossip_message &message,
                              peer_network::completion<Membership::gossip_message> done)
{
    call<Membership::gossip_message>(address, std::move(done), [message](Schema::Peer::Client &peer) {
        auto request = peer.gossipRequest();
        encodeGossip(message, request.initMessage());
        return request.send().then(
            [](capnp::Response<Schema::Peer::GossipResults> &&response) { return decodeGossip(response.getReply()); });
    });
}

void peer_clients::readConfiguration(const std::string &address, std::uint64_t aboveNumber,
                                     peer_network::completion<configuration_reply> done)
{
    call<configuration_reply>(address, std::move(done), [aboveNumber](Schema::Peer::Client &peer) {
        auto request = peer.readConfigurationRequest();
        request.setAboveNumber(aboveNumber);
        return request.send().then([](capnp::Response<Schema::Peer::ReadConfigurationResults> &&response) {
            const auto reply = response.getReply();
            return configuration_reply {reply.getNumber(), reply.getBaseNumber(), stringOf(reply.getText()),
                                        reply.getChecksum()};
        });
    });
}

void peer_clients::resolveRequest(const std::string &address, const resolve_question &question,
                                  peer_network::completion<resolve_reply> done)
{
    call<resolve_reply>(address, std::move(done), [question](Schema::Peer::Client &peer) {
        auto request = peer.resolveRequestRequest();
        request.setRequestId(textOf(question.requestId));
        request.setFingerprint(question.fingerprint);
        return request.send().then([](capnp::Response<Schema::Peer::ResolveRequestResults> &&response) {
            return resolve_reply {response.getState(), stringOf(response.getAnswer()), response.getStatus()};
        });
    });
}

void peer_clients::startBranch(std::uint64_t number, const std::string &address, branch_request request,
                               std::function<void(branch_answers)> onAnswers,
                               peer_network::completion<branch_summary> onEnd)
{
    auto branch = kj::heap<branch_call>(linkTo(address), std::move(request), std::move(onAnswers), std::move(onEnd));
    branch_call &started = *branch;
    m_branches.emplace(number, kj::mv(branch));
    started.start(m_provider.getTimer(), [this, number] { destroyBranch(number); });
}

void peer_clients::cancelBranch(std::uint64_t number)
{
    const auto found = m_branches.find(number);
    if (found != m_branches.end()) {
        found->second->dismiss();
        destroyBranch(number);
    }
}

/// Destroys a branch call on a later iteration of the event loop, since this may run within the call's own promise.
void peer_clients::destroyBranch(std::uint64_t number)
{
    const auto found = m_branches.find(number);
    if (found == m_branches.end()) {
        return;
    }
    kj::Own<branch_call> branch = kj::mv(found->second);
    m_branches.erase(found);
    m_tasks.add(kj::evalLater([branch = kj::mv(branch)]() mutable { branch = nullptr; }));
}

void peer_clients::taskFailed(kj::Exception &&)
{
    // Each call reports its failure to its own completion; a failure after that needs no handling.
}
} // namespace Wire
