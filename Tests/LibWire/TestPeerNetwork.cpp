#include "LibCore/Time.h"
#include "LibWire/BranchAnswers.h"
#include "LibWire/BranchSummary.h"
#include "LibWire/PeerNetwork.h"
#include "LibWire/PeerNetworkOptions.h"
#include "UnresponsivePeer.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <optional>

using namespace std::chrono_literals;
using Wire::peer_network;

static std::unique_ptr<peer_network> startNetwork(Wire::peer_handlers handlers, std::uint16_t port = 0)
{
    Wire::peer_network_options options;
    options.listenAddress = "127.0.0.1";
    options.port = port;
    options.connectTimeout = 300ms;
    options.callTimeout = 600ms;
    options.pingInterval = 50ms;
    options.pingTimeout = 150ms;
    auto network = peer_network::start(options, std::move(handlers));
    EXPECT_TRUE(network) << network.error().message;
    return std::move(network.value());
}

static std::string addressOf(const peer_network &network)
{
    return "127.0.0.1:" + std::to_string(network.port());
}

/// Records the answers and the end of a branch.
struct branch_report {
    std::mutex mutex;
    std::vector<std::string> shards; ///< Guarded by mutex.
    std::promise<Core::result<Wire::branch_summary>> end;

    std::uint64_t start(peer_network &network, const std::string &address, Wire::branch_request request)
    {
        const auto onAnswers = [this](const Wire::branch_answers &answers) {
            const std::scoped_lock lock(mutex);
            for (const Wire::branch_shard_answer &answer : answers.answers) {
                shards.push_back(answer.shard);
            }
        };
        return network.startBranch(
            address, std::move(request), onAnswers,
            [this](Core::result<Wire::branch_summary> outcome) { end.set_value(std::move(outcome)); });
    }
    Core::result<Wire::branch_summary> wait()
    {
        auto future = end.get_future();
        EXPECT_EQ(future.wait_for(5s), std::future_status::ready);
        return future.get();
    }
};

static Wire::branch_request makeRequest(std::chrono::milliseconds timeRemaining = 2s)
{
    Wire::branch_request request;
    request.requestId = "r1";
    request.service = "search";
    request.shards = {"a", "b"};
    request.timeRemaining = timeRemaining;
    return request;
}

static Core::error_code gossipError(peer_network &network, const std::string &address)
{
    std::promise<Core::result<Membership::gossip_message>> done;
    network.sendGossip(address, {}, [&](auto outcome) { done.set_value(std::move(outcome)); });
    const auto outcome = done.get_future().get();
    EXPECT_FALSE(outcome);
    return outcome.error().code;
}

TEST(PeerNetwork, TransmitsAllGossipFieldsInBothDirections)
{
    Wire::peer_handlers handlers;
    handlers.onGossip = [](const Membership::gossip_message &message) {
        Membership::gossip_message reply = message;
        reply.sender = "b";
        return reply;
    };
    const auto server = startNetwork(handlers);
    const auto client = startNetwork({});
    Membership::gossip_message message;
    message.configurationNumber = 7;
    message.digest.push_back({0xffffffffU, 0xffffU, 255, true});
    message.records.push_back({"a", 5, 6, "127.0.0.1:1", "127.0.0.1:2", "dc", true, 7});
    message.requestedIds = {9};
    message.blobs.push_back({"key", std::string("\0\xff", 2)});
    std::promise<Membership::gossip_message> done;
    client->sendGossip(addressOf(*server), message, [&](auto outcome) { done.set_value(outcome.value()); });
    const Membership::gossip_message reply = done.get_future().get();
    EXPECT_EQ(reply.sender, "b");
    EXPECT_EQ(reply.configurationNumber, message.configurationNumber);
    EXPECT_EQ(reply.digest, message.digest);
    EXPECT_EQ(reply.records, message.records);
    EXPECT_EQ(reply.requestedIds, message.requestedIds);
    EXPECT_EQ(reply.blobs, message.blobs);
}

TEST(PeerNetwork, DeliversAllBranchMessagesBeforeTheEnd)
{
    Wire::peer_handlers handlers;
    std::vector<std::thread> senders;
    handlers.onBranch = [&](const Wire::branch_request &request, Wire::branch_stream stream) {
        senders.emplace_back([request, stream = std::move(stream)]() mutable {
            for (const std::string &shard : request.shards) {
                Wire::branch_answers answers;
                answers.answers.push_back({shard, "s1", {{"id", 1.0}}});
                stream.send(std::move(answers));
            }
            stream.end({2});
        });
    };
    const auto server = startNetwork(handlers);
    const auto client = startNetwork({});
    for (int round = 0; round < 50; ++round) {
        branch_report report;
        report.start(*client, addressOf(*server), makeRequest());
        const auto outcome = report.wait();
        ASSERT_TRUE(outcome) << outcome.error().message;
        EXPECT_EQ(outcome.value().shardRequests, 2U);
        EXPECT_EQ(report.shards, (std::vector<std::string> {"a", "b"}));
    }
    server->stop();
    for (std::thread &sender : senders) {
        sender.join();
    }
}

TEST(PeerNetwork, ClosesUnresponsiveConnectionAndReconnectsToNextPeerAtTheAddress)
{
    auto unresponsivePeer = std::make_optional<unresponsive_peer>();
    const std::string address = unresponsivePeer->address();
    const std::uint16_t port = unresponsivePeer->port();
    const auto client = startNetwork({});
    branch_report report;
    const auto started = std::chrono::steady_clock::now();
    report.start(*client, address, makeRequest(10s));
    const auto outcome = report.wait();
    EXPECT_LT(std::chrono::steady_clock::now() - started, 2s)
        << "the ping timeout must end the call before the request's deadline";
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().code, Core::error_code::Unavailable) << "the request may have been sent";
    gossipError(*client, address);

    unresponsivePeer.reset();
    Wire::peer_handlers handlers;
    handlers.onGossip = [](const Membership::gossip_message &message) {
        return message;
    };
    const auto server = startNetwork(handlers, port);
    std::promise<bool> done;
    client->sendGossip(address, {}, [&](const auto &secondOutcome) { done.set_value(secondOutcome.has_value()); });
    EXPECT_TRUE(done.get_future().get()) << "a new connection must be established";
}

TEST(PeerNetwork, FailsWithNotFoundWhenConnectionIsRefused)
{
    std::string address;
    {
        const unresponsive_peer closedPeer;
        address = closedPeer.address();
    }
    const auto client = startNetwork({});
    branch_report report;
    report.start(*client, address, makeRequest());
    const auto outcome = report.wait();
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().code, Core::error_code::NotFound);
}

TEST(PeerNetwork, FailsWithUnavailableWhenPeerStopsDuringBranch)
{
    std::promise<void> running;
    std::optional<Wire::branch_stream> held;
    Wire::peer_handlers handlers;
    handlers.onBranch = [&](const Wire::branch_request &, Wire::branch_stream stream) {
        Wire::branch_answers answers;
        answers.answers.push_back({"a", "s1", {}});
        stream.send(std::move(answers));
        held = std::move(stream);
        running.set_value();
    };
    auto server = startNetwork(handlers);
    const auto client = startNetwork({});
    branch_report report;
    report.start(*client, addressOf(*server), makeRequest());
    running.get_future().wait();
    std::this_thread::sleep_for(50ms);
    server->stop();
    const auto outcome = report.wait();
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().code, Core::error_code::Unavailable);
    EXPECT_EQ(report.shards, std::vector<std::string> {"a"});
}

TEST(PeerNetwork, NotifiesBranchWhenRootCancels)
{
    std::promise<void> running;
    std::promise<void> cancelled;
    std::optional<Wire::branch_stream> held;
    Wire::peer_handlers handlers;
    handlers.onBranch = [&](const Wire::branch_request &, Wire::branch_stream stream) {
        held = std::move(stream);
        held->onCancel([&] { cancelled.set_value(); });
        running.set_value();
    };
    const auto server = startNetwork(handlers);
    const auto client = startNetwork({});
    branch_report report;
    const std::uint64_t branch = report.start(*client, addressOf(*server), makeRequest());
    running.get_future().wait();
    client->cancelBranch(branch);
    EXPECT_EQ(cancelled.get_future().wait_for(2s), std::future_status::ready);
    EXPECT_TRUE(held->isCancelled());
    EXPECT_EQ(report.end.get_future().wait_for(100ms), std::future_status::timeout)
        << "a cancelled branch must not report its end";
}

TEST(PeerNetwork, FailsWithTimedOutAtDeadlineWhenPeerIsResponsive)
{
    std::vector<Wire::branch_stream> held;
    Wire::peer_handlers handlers;
    handlers.onBranch = [&](const Wire::branch_request &, Wire::branch_stream stream) {
        held.push_back(std::move(stream));
    };
    const auto server = startNetwork(handlers);
    const auto client = startNetwork({});
    branch_report report;
    report.start(*client, addressOf(*server), makeRequest(700ms));
    const auto outcome = report.wait();
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().code, Core::error_code::TimedOut);
    server->stop();
}

TEST(PeerNetwork, MatchesRepliesToConcurrentResolveCalls)
{
    std::vector<std::pair<std::string, std::function<void(Wire::resolve_reply)>>> pendingReplies;
    std::promise<void> bothPending;
    Wire::peer_handlers handlers;
    handlers.onResolve = [&](const Wire::resolve_question &question, std::function<void(Wire::resolve_reply)> reply) {
        pendingReplies.emplace_back(question.requestId + std::to_string(question.fingerprint), std::move(reply));
        if (pendingReplies.size() == 2) {
            bothPending.set_value();
        }
    };
    const auto server = startNetwork(handlers);
    const auto client = startNetwork({});
    std::promise<std::string> first;
    std::promise<std::string> second;
    client->resolveRequest(addressOf(*server), {"one", 1}, [&](auto reply) { first.set_value(reply.value().answer); });
    client->resolveRequest(addressOf(*server), {"two", 2}, [&](auto reply) { second.set_value(reply.value().answer); });
    bothPending.get_future().wait();
    pendingReplies[1].second({1, pendingReplies[1].first, 200});
    pendingReplies[0].second({1, pendingReplies[0].first, 200});
    EXPECT_EQ(first.get_future().get(), "one1");
    EXPECT_EQ(second.get_future().get(), "two2");
}
