#include "AccountsFlusher.h"
#include "AnswerCodec.h"
#include "AtMostOnceGate.h"
#include "BranchApi.h"
#include "CallerApi.h"
#include "ConfigurationWatcher.h"
#include "DaemonState.h"
#include "EntriesApi.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibObservability/Log.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpServer.h"
#include "LibPlatform/HttpServerOptions.h"
#include "LibWire/PeerNetwork.h"
#include "LibWire/PeerNetworkOptions.h"
#include "MakePeerHandlers.h"
#include "MembershipLoop.h"
#include "OperatorApi.h"
#include "PatchWriter.h"
#include "QueryWorker.h"
#include "ReadSettings.h"
#include "Readiness.h"
#include "ShareExchange.h"
#include "SlowStartGossip.h"
#include "StopSequence.h"

#include <curl/curl.h>

#include <iostream>
#include <random>
#include <utility>

using Observability::log_level;

static constexpr int exitSettingsInvalid = 2;
static constexpr int exitListenFailed = 3;
static constexpr int exitRequestsAborted = 4;

static void dispatch(daemon_state &daemon, caller_api &callers, operator_api &operators,
                     const Platform::http_request &request, Platform::http_responder responder)
{
    if (request.path == "/healthz") {
        Platform::http_response response;
        response.contentType = "text/plain";
        response.body = "alive\n";
        responder.respond(response);
    } else if (request.path == "/metrics") {
        Platform::http_response response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = daemon.metrics.registry.toText(std::chrono::steady_clock::now());
        responder.respond(response);
    } else if (request.path == "/readyz") {
        handleReadiness(daemon, std::move(responder));
    } else if (request.path == "/v1/entries" && request.method == "GET") {
        handleEntries(daemon, request, std::move(responder));
    } else if (request.path.starts_with("/v1/query/") && request.method != "POST") {
        responder.respond(encodeRefusal(405, "", "a query must be sent with POST"));
    } else if (request.path.starts_with("/v1/query/")) {
        callers.handleQuery(request, std::move(responder));
    } else if (request.path.starts_with("/v1/operator/")) {
        operators.handle(request, std::move(responder));
    } else {
        responder.respond(encodeError(404, "no request " + request.method + " " + request.path));
    }
}

static void setHooks(daemon_state &daemon, membership_loop &membership)
{
    daemon.membership = &membership;
    daemon.hooks.numbersInForce = [&membership] {
        return membership.numbersInForce();
    };
    daemon.hooks.watchRank = [&membership] {
        return membership.watchRank();
    };
}

static void registerGauges(daemon_state &daemon, membership_loop &membership)
{
    Observability::metrics_registry &registry = daemon.metrics.registry;
    registry.gauge("ragwortcrank_configuration_number", "Number of the configuration in force.",
                   [&daemon] { return static_cast<double>(daemon.configuration.current()->number); });
    registry.gauge("ragwortcrank_live_daemons", "Daemons that this one holds to be alive, itself included.",
                   [&membership] { return static_cast<double>(membership.numbersInForce().size()); });
    registry.gauge("ragwortcrank_isolated", "1 while neither the store nor any peer is heard.",
                   [&membership] { return membership.isIsolated() ? 1.0 : 0.0; });
}

static void setAtMostOnceGate(daemon_state &daemon, at_most_once_gate &once)
{
    daemon.once = &once;
    daemon.peerHandlers.onResolve = [&once](const Wire::resolve_question &question, const auto &reply) {
        once.resolve(question.requestId, question.fingerprint, [reply](const at_most_once_answer &resolved) {
            reply({static_cast<std::uint8_t>(resolved.decision), resolved.body,
                   static_cast<std::uint16_t>(resolved.status)});
        });
    };
}

static Core::result<std::unique_ptr<Wire::peer_network>> startPeers(daemon_state &daemon, membership_loop &membership)
{
    Wire::peer_network_options options;
    options.listenAddress = daemon.daemonSettings.listenAddress;
    options.port = daemon.daemonSettings.peerPort;
    auto network = Wire::peer_network::start(options, makePeerHandlers(daemon, membership));
    if (network) {
        daemon.peers = network.value().get();
        membership.start(*network.value());
    }
    return network;
}

static std::vector<std::unique_ptr<query_worker>> startWorkers(daemon_state &daemon, std::random_device &seedSource)
{
    std::vector<std::unique_ptr<query_worker>> workers;
    workers.reserve(static_cast<std::size_t>(daemon.daemonSettings.queryThreads));
    for (int index = 0; index < daemon.daemonSettings.queryThreads; ++index) {
        workers.push_back(std::make_unique<query_worker>(daemon, seedSource()));
    }
    return workers;
}

static Core::result<std::unique_ptr<Platform::http_server>> startServer(daemon_state &daemon, caller_api &callers,
                                                                        operator_api &operators)
{
    Platform::http_server_options options;
    options.address = daemon.daemonSettings.listenAddress;
    options.port = daemon.daemonSettings.callerPort;
    options.threads = daemon.daemonSettings.httpThreads;
    return Platform::http_server::start(
        options, [&](const Platform::http_request &request, Platform::http_responder responder) {
            dispatch(daemon, callers, operators, request, daemon.drain.count(std::move(responder)));
        });
}

static int reportListenFailure(const Core::error &error)
{
    Observability::logEvent(log_level::Error, "listen_failed", {{"message", error.message}});
    return exitListenFailed;
}

static int serve(daemon_state &daemon)
{
    std::random_device seedSource;
    membership_loop membership(daemon, seedSource());
    setHooks(daemon, membership);
    registerGauges(daemon, membership);
    slow_start_gossip slowStartGossip(daemon);
    slowStartGossip.start();
    at_most_once_gate once(daemon);
    setAtMostOnceGate(daemon, once);
    share_exchange shares(daemon, seedSource());
    daemon.shares = &shares;
    accounts_flusher accounts(daemon);
    daemon.hooks.accountsText = [&accounts] {
        return accounts.text();
    };
    std::vector<std::unique_ptr<query_worker>> workers = startWorkers(daemon, seedSource);
    serveBranches(daemon, workers);
    patch_writer writer(daemon);
    configuration_watcher watcher(daemon, seedSource());
    caller_api callers(daemon, workers, seedSource());
    operator_api operators(daemon, writer);
    const auto network = startPeers(daemon, membership);
    if (!network) {
        return reportListenFailure(network.error());
    }
    shares.start(writer);
    const auto server = startServer(daemon, callers, operators);
    if (!server) {
        return reportListenFailure(server.error());
    }
    Observability::logEvent(log_level::Info, "started", {{"caller_port", daemon.daemonSettings.callerPort}});
    waitForStopSignal();
    Observability::logEvent(log_level::Info, "stopping");
    const bool nothingAborted = drain(daemon, membership);
    shares.stop();
    membership.stop();
    for (const std::unique_ptr<query_worker> &worker : workers) {
        worker->stop();
    }
    server.value()->stop();
    accounts.stop();
    Observability::logEvent(log_level::Info, "stopped");
    return nothingAborted ? 0 : exitRequestsAborted;
}

int main(int argc, char **argv)
{
    if (wantsHelp(argc, argv)) {
        printHelp(std::cout);
        return 0;
    }
    daemon_state daemon;
    std::vector<Core::finding> findings;
    readSettings(argc, argv, daemon.daemonSettings, findings);
    if (!findings.empty()) {
        for (const Core::finding &finding : findings) {
            std::cerr << finding.path << ": " << finding.message << '\n';
        }
        return exitSettingsInvalid;
    }
    blockStopSignals();
    daemon.incarnation = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Observability::initializeLog(daemon.daemonSettings.virtualMachine, daemon.daemonSettings.logLevel);
    return serve(daemon);
}
