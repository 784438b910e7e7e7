#pragma once

#include <vector>

namespace Platform
{
class http_client;
}

namespace Query
{
struct send_attempt;
}

struct daemon_state;
struct running_query;
struct warm_up_request;

/// Sends warm-up requests, copies of first attempts, to cold replicas as LibBackend decides, and discards the
/// responses. Used only on the thread that runs the HTTP client.
class warm_up_requests
{
public:
    warm_up_requests(daemon_state &daemon, Platform::http_client &client);

    /// Sends the warm-up requests that are due for the requests that a query is about to send.
    void copy(const running_query &running, const std::vector<Query::send_attempt> &sends);

private:
    void send(const running_query &running, const warm_up_request &request);

    daemon_state &m_daemon;
    Platform::http_client &m_client;
};
