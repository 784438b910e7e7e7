#include "AnswerCodec.h"
#include "CallerApi.h"
#include "ConfigurationWatcher.h"
#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibObservability/Log.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpServer.h"
#include "LibPlatform/HttpServerOptions.h"
#include "OperatorApi.h"
#include "PatchWriter.h"
#include "QueryWorker.h"
#include "ReadSettings.h"

#include <curl/curl.h>

#include <csignal>
#include <iostream>
#include <random>
#include <utility>

using Observability::log_level;

static constexpr int exitSettingsInvalid = 2;
static constexpr int exitListenFailed = 3;

static void handleReadiness(const daemon_state &daemon, Platform::http_responder responder)
{
    const bool ready = daemon.configuration.current()->number > 0;
    Platform::http_response response;
    response.status = ready ? 200 : 503;
    response.contentType = "text/plain";
    response.body = ready ? "ready\n" : "no configuration is in force\n";
    responder.respond(response);
}

static void dispatch(const daemon_state &daemon, caller_api &callers, operator_api &operators,
                     const Platform::http_request &request, Platform::http_responder responder)
{
    if (request.path == "/healthz") {
        Platform::http_response response;
        response.contentType = "text/plain";
        response.body = "alive\n";
        responder.respond(response);
    } else if (request.path == "/readyz") {
        handleReadiness(daemon, std::move(responder));
    } else if (request.path == "/v1/entries" && request.method == "GET") {
        callers.handleEntries(request, std::move(responder));
    } else if (request.path.starts_with("/v1/query/") && request.method == "POST") {
        callers.handleQuery(request, std::move(responder));
    } else if (request.path.starts_with("/v1/operator/")) {
        operators.handle(request, std::move(responder));
    } else {
        responder.respond(encodeError(404, "no request " + request.method + " " + request.path));
    }
}

static void waitForStop()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

/// Blocks the stop signals before any thread starts, so that only waitForStop() takes them.
static void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

static int serve(daemon_state &daemon)
{
    std::random_device seedSource;
    std::vector<std::unique_ptr<query_worker>> workers;
    workers.reserve(static_cast<std::size_t>(daemon.daemonSettings.queryThreads));
    for (int index = 0; index < daemon.daemonSettings.queryThreads; ++index) {
        workers.push_back(std::make_unique<query_worker>(daemon, seedSource()));
    }
    patch_writer writer(daemon);
    configuration_watcher watcher(daemon, seedSource());
    caller_api callers(daemon, workers, seedSource());
    operator_api operators(daemon, writer);
    Platform::http_server_options options;
    options.address = daemon.daemonSettings.listenAddress;
    options.port = daemon.daemonSettings.callerPort;
    options.threads = daemon.daemonSettings.httpThreads;
    const auto server = Platform::http_server::start(
        options, [&](const Platform::http_request &request, Platform::http_responder responder) {
            dispatch(daemon, callers, operators, request, std::move(responder));
        });
    if (!server) {
        Observability::logEvent(log_level::Error, "listen_failed", {{"message", server.error().message}});
        return exitListenFailed;
    }
    Observability::logEvent(log_level::Info, "started", {{"caller_port", options.port}});
    waitForStop();
    Observability::logEvent(log_level::Info, "stopping");
    for (const std::unique_ptr<query_worker> &worker : workers) {
        worker->stop();
    }
    server.value()->stop();
    Observability::logEvent(log_level::Info, "stopped");
    return 0;
}

int main(int argc, char **argv)
{
    daemon_state daemon;
    std::vector<Core::finding> findings;
    readSettings(argc, argv, daemon.daemonSettings, findings);
    if (!findings.empty()) {
        for (const Core::finding &finding : findings) {
            std::cerr << finding.path << ": " << finding.message << '\n';
        }
        return exitSettingsInvalid;
    }
    blockSignals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Observability::initializeLog(daemon.daemonSettings.virtualMachine, daemon.daemonSettings.logLevel);
    return serve(daemon);
}
