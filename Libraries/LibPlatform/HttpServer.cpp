#include "LibPlatform/HttpServer.h"

#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponder.h"
#include "LibPlatform/HttpResponse.h"
#include "LibPlatform/HttpServerOptions.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>

#include <algorithm>
#include <cctype>
#include <exception>
#include <utility>

namespace Platform
{
namespace
{
class pistache_connection final : public http_responder::connection
{
public:
    explicit pistache_connection(Pistache::Http::ResponseWriter writer)
        : m_writer(std::move(writer))
    {
    }

    void send(const http_response &response) override
    {
        try {
            for (const auto &[name, value] : response.headers) {
                m_writer.headers().addRaw(Pistache::Http::Header::Raw(name, value));
            }
            m_writer.headers().addRaw(Pistache::Http::Header::Raw("Content-Type", response.contentType));
            m_writer.send(static_cast<Pistache::Http::Code>(response.status), response.body);
        } catch (const std::exception &) {
            // Pistache throws when the caller has closed its connection. There is nobody left to tell.
            return;
        }
    }

private:
    Pistache::Http::ResponseWriter m_writer;
};

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

http_request convertRequest(const Pistache::Http::Request &request)
{
    http_request converted;
    converted.method = Pistache::Http::methodString(request.method());
    converted.path = request.resource();
    converted.body = request.body();
    for (const auto &[name, header] : request.headers().rawList()) {
        converted.headers[lowerCase(header.name())] = header.value();
    }
    for (auto it = request.query().parameters_begin(); it != request.query().parameters_end(); ++it) {
        converted.parameters[it->first] = it->second;
    }
    return converted;
}

class request_handler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(request_handler)

    explicit request_handler(http_server::handler target)
        : m_target(std::move(target))
    {
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override
    {
        m_target(convertRequest(request), http_responder(std::make_unique<pistache_connection>(std::move(writer))));
    }

private:
    http_server::handler m_target;
};
} // namespace

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
                            .maxRequestSize(options.mostRequestBytes)
                            .maxResponseSize(std::size_t(64) << 20U)
                            .headerTimeout(options.headerTimeout)
                            .bodyTimeout(options.bodyTimeout)
                            .keepaliveTimeout(options.keepAliveTimeout);
        state->endpoint->init(settings);
        state->endpoint->setHandler(Pistache::Http::make_handler<request_handler>(std::move(requestHandler)));
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
