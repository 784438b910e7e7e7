#include "LibPlatform/HttpServer.h"

#include "LibPlatform/HttpServerOptions.h"
#include "LibPlatform/RequestHandler.h"

#include <pistache/endpoint.h>

#include <exception>
#include <utility>

namespace Platform
{
struct http_server::implementation {
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    bool serving = false;
};

http_server::http_server(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (m_implementation->serving) {
        m_implementation->serving = false;
        m_implementation->endpoint->shutdown();
    }
}

Core::result<std::unique_ptr<http_server>> http_server::start(const http_server_options &options,
                                                              handler requestHandler)
{
    auto state = std::make_unique<implementation>();
    try {
        const Pistache::Address address(options.address, Pistache::Port(options.port));
        state->endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
        auto settings = Pistache::Http::Endpoint::options()
                            .threads(options.threads)
                            .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                            .maxRequestSize(options.maximumRequestBytes)
                            .maxResponseSize(std::size_t(64) << 20U)
                            .headerTimeout(options.requestTimeout)
                            .bodyTimeout(options.requestTimeout)
                            .keepaliveTimeout(options.keepAliveTimeout);
        state->endpoint->init(settings);
        state->endpoint->setHandler(
            Pistache::Http::make_handler<request_handler>(std::move(requestHandler), options.maximumRequestBytes));
        state->endpoint->serveThreaded();
    } catch (const std::exception &exception) {
        return Core::error {Core::error_code::Unavailable,
                            "cannot listen on " + options.address + ":" + std::to_string(options.port) + ": "
                                + exception.what()};
    }
    state->serving = true;
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}
} // namespace Platform
