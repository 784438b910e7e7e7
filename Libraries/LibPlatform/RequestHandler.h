#pragma once

#include "LibPlatform/HttpServer.h"

#include <pistache/http.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace Platform
{
struct connection_state;

/// Reads the bytes of Pistache's connections and passes complete requests to the handler, one at a time for each
/// connection.
///
/// Pistache's own handler drops the bytes that follow a request in the same read; it passes on a second request while
/// the first one still runs, so that the responses may be sent in the wrong order; and it parses a rejected body as if
/// it were a request. Here a connection whose framing is lost, or that sends a request before the response to the
/// previous one, receives one more response with "Connection: close", and no further input is read from it.
class request_handler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(request_handler)

    request_handler(http_server::handler target, std::size_t maximumRequestBytes);

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override;

private:
    void onInput(const char *data, std::size_t size, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;
    void read(std::string_view input, const std::shared_ptr<Pistache::Tcp::Peer> &peer,
              const std::shared_ptr<connection_state> &state);
    /// Buffers the header and feeds it to the parser once it is complete. Returns the number of input bytes consumed.
    std::size_t feedHeader(std::string_view input, Pistache::Http::RequestParser &parser,
                           connection_state &state) const;
    /// Feeds the bytes of the body to the parser. Returns the number of input bytes consumed.
    static std::size_t feedBody(std::string_view input, Pistache::Http::RequestParser &parser, connection_state &state);
    void reject(int status, const std::string &reason, const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                const std::shared_ptr<connection_state> &state);

    http_server::handler m_target;
    std::size_t m_maximumRequestBytes;
};
} // namespace Platform
