#pragma once

#include "LibPlatform/HttpResponder.h"

#include <pistache/http.h>

#include <memory>

namespace Platform
{
struct connection_state;

/// Sends a response over a Pistache connection. Internal to the HTTP server.
class pistache_connection final : public http_responder::connection
{
public:
    pistache_connection(Pistache::Http::ResponseWriter writer, std::shared_ptr<connection_state> state);

    void send(const http_response &response) override;

private:
    Pistache::Http::ResponseWriter m_writer;
    /// Shared with the connection itself, which may close before the response is ready.
    std::shared_ptr<connection_state> m_state;
};
} // namespace Platform
