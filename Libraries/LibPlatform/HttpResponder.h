#pragma once

#include <memory>

namespace Platform
{
struct http_response;

/// Sends the response to one request. May be moved to another thread and used there.
class http_responder
{
public:
    /// The connection that the response is sent on. Implemented by each kind of server.
    class connection
    {
    public:
        virtual ~connection() = default;
        virtual void send(const http_response &response) = 0;
    };

    explicit http_responder(std::unique_ptr<connection> target);
    http_responder(http_responder &&) noexcept;
    http_responder &operator=(http_responder &&) noexcept;
    http_responder(const http_responder &) = delete;
    http_responder &operator=(const http_responder &) = delete;
    ~http_responder();

    /// Sends the response. Has no effect if the caller has disconnected. Must be called at most once.
    void respond(const http_response &response);

private:
    std::unique_ptr<connection> m_connection;
};
} // namespace Platform
