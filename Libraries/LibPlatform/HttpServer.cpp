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
/// A header with any name. Pistache writes only typed headers: what addRaw() takes never reaches the wire.
class named_header final : public Pistache::Http::Header::Header
{
public:
    named_header(std::string headerName, std::string value)
        : m_name(std::move(headerName))
        , m_value(std::move(value))
    {
    }

    const char *name() const override
    {
        return m_name.c_str();
    }

    void write(std::ostream &stream) const override
    {
        stream << m_value;
    }

    std::uint64_t hash() const override
    {
        return std::hash<std::string>()(m_name);
    }

private:
    std::string m_name;
    std::string m_value;
};

class pistache_connection final : public http_responder::connection
{
public:
    enum class persistence {
        KeepOpen,
        CloseAfterAnswer,
    };

    pistache_connection(Pistache::Http::ResponseWriter writer, persistence kept)
        : m_writer(std::move(writer))
        , m_persistence(kept)
    {
    }

    void send(const http_response &response) override
    {
        try {
            Pistache::Http::Header::Collection &headers = m_writer.headers();
            for (const auto &[name, value] : response.headers) {
                headers.add(std::make_shared<named_header>(name, value));
            }
            headers.add(std::make_shared<named_header>("Content-Type", response.contentType));
            if (m_persistence == persistence::KeepOpen) {
                headers.remove<Pistache::Http::Header::Connection>(); // Adding does not replace.
                headers.add<Pistache::Http::Header::Connection>(Pistache::Http::ConnectionControl::KeepAlive);
            }
            m_writer.send(static_cast<Pistache::Http::Code>(response.status), response.body);
        } catch (const std::exception &) {
            // Pistache throws when the caller has closed its connection. There is nobody left to tell.
            return;
        }
    }

private:
    Pistache::Http::ResponseWriter m_writer;
    persistence m_persistence;
};

/// HTTP/1.1 connections stay open unless the caller asks otherwise. Pistache by itself announces "Connection: Close"
/// to every caller that sends no Connection header, which costs each of them a new connection for every request.
pistache_connection::persistence persistenceOf(const Pistache::Http::Request &request)
{
    using persistence = pistache_connection::persistence;
    const auto header = request.headers().tryGet<Pistache::Http::Header::Connection>();
    const bool keep = header == nullptr ? request.version() == Pistache::Http::Version::Http11
                                        : header->control() == Pistache::Http::ConnectionControl::KeepAlive;
    return keep ? persistence::KeepOpen : persistence::CloseAfterAnswer;
}

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
        m_target(convertRequest(request),
                 http_responder(std::make_unique<pistache_connection>(std::move(writer), persistenceOf(request))));
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
