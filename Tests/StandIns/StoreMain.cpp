#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpServer.h"
#include "LibPlatform/HttpServerOptions.h"
#include "StandIns/Store.h"
#include "StandIns/WaitForStop.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int32(port, 9000, "TCP port on 127.0.0.1");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    StandIns::blockStopSignals();
    StandIns::store store;
    Platform::http_server_options options;
    options.address = "127.0.0.1";
    options.port = static_cast<std::uint16_t>(FLAGS_port);
    options.threads = 4;
    options.requestTimeout = std::chrono::minutes(5);
    const auto server = Platform::http_server::start(
        options, [&store](const Platform::http_request &request, Platform::http_responder responder) {
            store.handle(request, std::move(responder));
        });
    if (!server) {
        std::cerr << server.error().message << '\n';
        return 1;
    }
    StandIns::waitForStop();
    server.value()->stop();
    return 0;
}
