#include "LibWire/PeerNetwork.h"

#include "LibWire/BranchAnswers.h"
#include "LibWire/BranchSummary.h"
#include "LibWire/LoopInbox.h"
#include "LibWire/PeerAcceptor.h"
#include "LibWire/PeerClients.h"
#include "LibWire/PeerLoop.h"
#include "LibWire/PeerNetworkOptions.h"
#include "LibWire/PeerService.h"

#include <atomic>
#include <future>
#include <thread>
#include <utility>

namespace Wire
{
class peer_network::implementation
{
public:
    implementation(const peer_network_options &options, peer_handlers handlers)
        : m_options(options)
        , m_handlers(std::move(handlers))
        , m_inbox(std::make_shared<loop_inbox>())
    {
    }
    ~implementation()
    {
        stop();
    }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    Core::result<void> start()
    {
        std::promise<Core::result<std::uint16_t>> bound;
        auto result = bound.get_future();
        m_thread = std::thread([this, &bound] { run(bound); });
        const Core::result<std::uint16_t> port = result.get();
        if (!port) {
            m_thread.join();
            return port.error();
        }
        m_port = port.value();
        return Core::success();
    }

    void stop()
    {
        m_inbox->post([this](peer_loop &) { m_stopping = true; });
        m_inbox->close();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Queues a call for the network's thread. After stop() the call fails immediately.
    template<typename Value> void post(const completion<Value> &done, loop_inbox::work work)
    {
        if (!m_inbox->post(std::move(work))) {
            done(Core::error {Core::error_code::Unavailable, "the peer network has stopped"});
        }
    }

    loop_inbox &inbox()
    {
        return *m_inbox;
    }
    std::uint16_t port() const
    {
        return m_port;
    }
    std::uint64_t nextBranch()
    {
        return m_nextBranch++;
    }

private:
    void run(std::promise<Core::result<std::uint16_t>> &bound)
    {
        auto io = kj::setupAsyncIo();
        auto ownedService = kj::heap<peer_service>(std::move(m_handlers), m_inbox);
        peer_service &service = *ownedService;
        Schema::Peer::Client bootstrap(kj::mv(ownedService));
        kj::Own<peer_acceptor> acceptor;
        auto failure = kj::runCatchingExceptions(
            [&] { acceptor = kj::heap<peer_acceptor>(*io.provider, io.waitScope, bootstrap, m_options); });
        KJ_IF_MAYBE (exception, failure) {
            bound.set_value(Core::error {Core::error_code::Unavailable, exception->getDescription().cStr()});
            return;
        }
        bound.set_value(acceptor->port());
        peer_clients clients(*io.provider, m_options);
        peer_loop loop {clients, service};
        auto wake = io.lowLevelProvider->wrapInputFd(m_inbox->descriptor());
        while (!m_stopping) {
            std::uint64_t count = 0;
            wake->read(&count, sizeof(count)).wait(io.waitScope);
            for (const loop_inbox::work &work : m_inbox->take()) {
                work(loop);
            }
        }
    }

    peer_network_options m_options;
    peer_handlers m_handlers; ///< Moved to the peer service when the thread starts.
    std::shared_ptr<loop_inbox> m_inbox;
    bool m_stopping = false; ///< Only used on the network's thread.
    std::uint16_t m_port = 0;
    std::atomic<std::uint64_t> m_nextBranch {1};
    std::thread m_thread;
};

Core::result<std::unique_ptr<peer_network>> peer_network::start(const peer_network_options &options,
                                                                peer_handlers handlers)
{
    auto state = std::make_unique<implementation>(options, std::move(handlers));
    const Core::result<void> started = state->start();
    if (!started) {
        return started.error();
    }
    return std::unique_ptr<peer_network>(new peer_network(std::move(state)));
}

peer_network::peer_network(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

peer_network::~peer_network() = default;

std::uint16_t peer_network::port() const
{
    return m_implementation->port();
}

void peer_network::sendGossip(const std::string &address, Membership::gossip_message message,
                              const completion<Membership::gossip_message> &done)
{
    m_implementation->post(done, [address, message = std::move(message), done](peer_loop &loop) {
        loop.clients.sendGossip(address, message, done);
    });
}

void peer_network::readConfiguration(const std::string &address, std::uint64_t aboveNumber,
                                     const completion<configuration_reply> &done)
{
    m_implementation->post(done, [address, aboveNumber, done](peer_loop &loop) {
        loop.clients.readConfiguration(address, aboveNumber, done);
    });
}

void peer_network::resolveRequest(const std::string &address, const resolve_question &question,
                                  const completion<resolve_reply> &done)
{
    m_implementation->post(
        done, [address, question, done](peer_loop &loop) { loop.clients.resolveRequest(address, question, done); });
}

std::uint64_t peer_network::startBranch(const std::string &address, branch_request request,
                                        std::function<void(branch_answers)> onAnswers,
                                        const completion<branch_summary> &onEnd)
{
    const std::uint64_t number = m_implementation->nextBranch();
    m_implementation->post(onEnd,
                           [number, address, request = std::move(request), onAnswers = std::move(onAnswers),
                            onEnd](peer_loop &loop) mutable {
                               loop.clients.startBranch(number, address, std::move(request), std::move(onAnswers),
                                                        onEnd);
                           });
    return number;
}

void peer_network::cancelBranch(std::uint64_t branch)
{
    m_implementation->inbox().post([branch](peer_loop &loop) { loop.clients.cancelBranch(branch); });
}

void peer_network::stop()
{
    m_implementation->stop();
}
} // namespace Wire
