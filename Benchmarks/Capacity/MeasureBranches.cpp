#include "LibCore/Verify.h"
#include "LibWire/BranchAnswers.h"
#include "LibWire/BranchRequest.h"
#include "LibWire/BranchSummary.h"
#include "LibWire/PeerNetwork.h"
#include "LibWire/PeerNetworkOptions.h"
#include "Measures.h"
#include "Support/ProcessorTime.h"

#include <condition_variable>
#include <mutex>

namespace Capacity
{
static Wire::branch_answers answersFor(const Wire::branch_request &request)
{
    Wire::branch_answers answers;
    for (const std::string &shard : request.shards) {
        Wire::branch_shard_answer answer {shard, request.snapshot, {}};
        for (int index = 0; index < 3; ++index) {
            answer.items.push_back({shard + "/" + std::to_string(index), static_cast<double>(index)});
        }
        answers.answers.push_back(std::move(answer));
    }
    return answers;
}

/// Runs branch calls, 64 at once, between two networks of this process, and returns the processor time of both sides.
static Core::duration runBranches(Wire::peer_network &client, const std::string &address, int calls, std::size_t shards)
{
    Wire::branch_request request;
    request.requestId = "vm-0.1";
    request.service = "search";
    request.route = "lookup";
    request.snapshot = "s";
    request.text = "a query of ordinary length";
    request.timeRemaining = std::chrono::seconds(10);
    for (std::size_t index = 0; index < shards; ++index) {
        request.shards.push_back("shard-" + std::to_string(index));
    }
    std::mutex mutex;
    std::condition_variable wake;
    int running = 0;
    constexpr int inFlight = 64;
    const Core::duration start = Bench::processProcessorTime();
    std::unique_lock lock(mutex);
    for (int call = 0; call < calls; ++call) {
        wake.wait(lock, [&] { return running < inFlight; });
        ++running;
        client.startBranch(
            address, request, [](const Wire::branch_answers &) {},
            [&](const Core::result<Wire::branch_summary> &summary) {
                VERIFY(summary.has_value());
                const std::scoped_lock ended(mutex);
                --running;
                wake.notify_one();
            });
    }
    wake.wait(lock, [&] { return running == 0; });
    return Bench::processProcessorTime() - start;
}

std::vector<measurement> measureBranches()
{
    Wire::peer_network_options options;
    options.listenAddress = "127.0.0.1";
    Wire::peer_handlers handlers;
    handlers.onBranch = [](const Wire::branch_request &request, Wire::branch_stream stream) {
        stream.send(answersFor(request));
        stream.end({static_cast<std::uint32_t>(request.shards.size()), 0});
    };
    const auto server = Wire::peer_network::start(options, handlers);
    const auto client = Wire::peer_network::start(options, {});
    VERIFY(server.has_value() && client.has_value());
    const std::string address = "127.0.0.1:" + std::to_string(server.value()->port());
    measurement call {"branch", "one branch call, both daemons together", "us", "shards of the call", {}, {}, 16, 8};
    constexpr int calls = 4000;
    runBranches(*client.value(), address, calls, 4);
    for (const std::size_t shards : {4U, 8U, 16U, 32U}) {
        call.sizes.push_back(static_cast<double>(shards));
        call.values.push_back(Core::toMilliseconds(runBranches(*client.value(), address, calls, shards)) * 1000.0
                              / calls);
    }
    client.value()->stop();
    server.value()->stop();
    return {call};
}
} // namespace Capacity
