#pragma once

#include "LibCore/Result.h"
#include "LibWire/PeerHandlers.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Wire
{
struct branch_answers;
struct branch_summary;
struct resolve_question;
struct peer_network_options;

/// The connections between this daemon and its peers: one thread that serves peers and keeps one connection to each
/// peer that was called. All functions may be called from any thread. Completions run on the network's thread, once
/// each, and must not block. Every call ends within its deadline; a connection that has gone silent is closed, its
/// calls fail, and the next call makes a new one.
class peer_network
{
public:
    template<typename Value> using completion = std::function<void(Core::result<Value>)>;

    /// Binds and starts. Errors: Unavailable if the address cannot be bound.
    [[nodiscard]] static Core::result<std::unique_ptr<peer_network>> start(const peer_network_options &options,
                                                                           peer_handlers handlers);
    ~peer_network();
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;

    /// The port that peers connect to.
    std::uint16_t port() const;

    /// Errors: Unavailable, when no connection could be made or it broke; TimedOut.
    void sendGossip(const std::string &address, Membership::gossip_message message,
                    const completion<Membership::gossip_message> &done);
    void readConfiguration(const std::string &address, std::uint64_t aboveNumber,
                           const completion<configuration_reply> &done);
    void resolveRequest(const std::string &address, const resolve_question &question,
                        const completion<resolve_reply> &done);

    /// Starts a branch at a peer and returns its number. `onAnswers` is called for each message of the branch, then
    /// `onEnd` once. Errors: NotFound, when no connection could be made and so no byte of the request left;
    /// Unavailable, when the connection broke or was condemned after the request may have left; TimedOut, when the
    /// request's time ran out.
    std::uint64_t startBranch(const std::string &address, branch_request request,
                              std::function<void(branch_answers)> onAnswers, const completion<branch_summary> &onEnd);
    /// Tells the peer to stop the branch. Neither function of the branch starts after the network has seen this.
    void cancelBranch(std::uint64_t branch);

    /// Closes the listener and every connection; calls that run fail. Idempotent.
    void stop();

private:
    class implementation;
    explicit peer_network(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> m_implementation;
};
} // namespace Wire
