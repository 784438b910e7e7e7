#pragma once

#include "LibCore/Result.h"

#include <functional>
#include <memory>

namespace Platform
{
struct http_request;
struct http_server_options;
class http_responder;

/// An HTTP/1.1 server based on Pistache. The handler runs on the server's threads and may respond asynchronously, from
/// any thread.
class http_server
{
public:
    using handler = std::function<void(http_request, http_responder)>;

    /// Binds the address and starts to serve. Errors: Unavailable if the address cannot be bound.
    [[nodiscard]] static Core::result<std::unique_ptr<http_server>> start(const http_server_options &options,
                                                                          handler requestHandler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Closes the listener and all connections. Responses that were not sent yet are lost.
    void stop();

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> m_implementation;
};
} // namespace Platform
