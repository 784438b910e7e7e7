#pragma once

#include "LibPlatform/HttpServer.h"

#include <pistache/http.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace Platform
{
struct connection_state;

/// Takes the bytes of Pistache's connections and hands whole requests on, one at a time for each connection.
///
/// Pistache's own handler drops what follows a request in the same read, hands over a second request while the first
/// one still runs, which lets their answers cross, and goes on to read a refused body as if it were a request. Here a
/// connection whose framing is lost, or that sends a request before the answer to the one before, is answered once more
/// with "Connection: close", and nothing further is read from it.
class request_handler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(request_handler)

    request_handler(http_server::handler target, std::size_t mostRequestBytes);

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override;

private:
    void onInput(const char *data, std::size_t size, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;
    void read(std::string_view input, const std::shared_ptr<Pistache::Tcp::Peer> &peer,
              const std::shared_ptr<connection_state> &state);
    /// Collects the header and gives it to the parser once it is whole. Returns how much of the input it took.
    std::size_t feedHeader(std::string_view input, Pistache::Http::RequestParser &parser,
                           connection_state &state) const;
    /// Gives the parser what belongs to the body. Returns how much of the input it took.
    static std::size_t feedBody(std::string_view input, Pistache::Http::RequestParser &parser, connection_state &state);
    void refuse(int status, const std::string &reason, const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                const std::shared_ptr<connection_state> &state);

    http_server::handler m_target;
    std::size_t m_mostRequestBytes;
};
} // namespace Platform
