#include "LibConfiguration/Parse.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpServer.h"
#include "LibPlatform/HttpServerOptions.h"
#include "StandIns/BackendServer.h"
#include "StandIns/WaitForStop.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <vector>

DEFINE_string(config, "", "configuration document; its replicas are served");
DEFINE_string(data_centre, "", "only the replicas of this data centre; empty: all");
DEFINE_string(replica, "", "only the replica of this name; empty: all");

namespace
{
struct served_replica {
    std::unique_ptr<StandIns::backend_server> backend;
    std::unique_ptr<Platform::http_server> server;
};

bool serve(const Configuration::replica_settings &replica, std::uint32_t slots, std::vector<served_replica> &served)
{
    const std::size_t colon = replica.address.rfind(':');
    Platform::http_server_options options;
    options.address = replica.address.substr(0, colon);
    options.port = static_cast<std::uint16_t>(std::stoi(replica.address.substr(colon + 1)));
    options.threads = 1;
    served_replica added;
    added.backend = std::make_unique<StandIns::backend_server>(replica.shard, slots, options.port);
    StandIns::backend_server *backend = added.backend.get();
    auto server = Platform::http_server::start(
        options, [backend](const Platform::http_request &request, Platform::http_responder responder) {
            backend->handle(request, std::move(responder));
        });
    if (!server) {
        std::cerr << server.error().message << '\n';
        return false;
    }
    added.server = std::move(server.value());
    served.push_back(std::move(added));
    return true;
}
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    StandIns::blockStopSignals();
    std::ifstream file(FLAGS_config);
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    const Configuration::parsed_document parsed = Configuration::parseDocument(text);
    for (const Core::finding &finding : parsed.findings) {
        std::cerr << finding.path << ": " << finding.message << '\n';
    }
    if (!parsed.findings.empty()) {
        return 2;
    }
    std::vector<served_replica> served;
    for (const auto &[serviceName, service] : parsed.document.services) {
        for (const auto &[name, replica] : service.replicas) {
            const bool wanted = (FLAGS_data_centre.empty() || replica.dataCentre == FLAGS_data_centre)
                && (FLAGS_replica.empty() || name == FLAGS_replica);
            if (wanted && !serve(replica, service.slotsPerReplica, served)) {
                return 1;
            }
        }
    }
    StandIns::waitForStop();
    for (served_replica &replica : served) {
        replica.server->stop();
    }
    return 0;
}
