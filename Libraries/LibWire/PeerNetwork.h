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

/// The connections between this daemon and its peers. One thread serves the peers' calls and keeps one connection to
/// each peer that was called. All functions may be called from any thread. Completions run once each, on the network's
/// thread (after stop(), on the calling thread), and must not block. Every call ends within its deadline. If a peer
/// stops answering pings, its connection is closed and the calls on it fail; the next call opens a new connection.
class peer_network
{
public:
    template<typename Value> using completion = std::function<void(Core::result<Value>)>;

    /// Binds the listener and starts the network's thread. Errors: Unavailable if the address cannot be bound.
    [[nodiscard]] static Core::result<std::unique_ptr<peer_network>> start(const peer_network_options &options,
                                                                           peer_handlers handlers);
    ~peer_network();
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;

    /// The port that peers connect to.
    std::uint16_t port() const;

    /// Sends a gossip message and passes the peer's reply to `done`.
    /// Errors of this and the next two functions: Unavailable, if the connection could not be established or broke;
    /// TimedOut, if the peer did not reply within the call timeout.
    void sendGossip(const std::string &address, Membership::gossip_message message,
                    const completion<Membership::gossip_message> &done);
    void readConfiguration(const std::string &address, std::uint64_t aboveNumber,
                           const completion<configuration_reply> &done);
    void resolveRequest(const std::string &address, const resolve_question &question,
                        const completion<resolve_reply> &done);

    /// Starts a branch at a peer and returns its number. `onAnswers` is called for each message of the branch, then
    /// `onEnd` once. Errors: NotFound, if no connection could be established, so that no byte of the request was sent;
    /// Unavailable, if the connection broke or the peer stopped responding after the request may have been sent;
    /// TimedOut, if the request's remaining time has elapsed.
    std::uint64_t startBranch(const std::string &address, branch_request request,
                              std::function<void(branch_answers)> onAnswers, const completion<branch_summary> &onEnd);
    /// Cancels the branch at the peer. Neither callback of the branch is called after the network's thread has
    /// processed the cancellation.
    void cancelBranch(std::uint64_t branch);

    /// Closes the listener and all connections. Running calls fail. Idempotent.
    void stop();

private:
    class implementation;
    explicit peer_network(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> m_implementation;
};
} // namespace Wire
