#pragma once

#include "LibCore/Time.h"

namespace Backend
{
struct health_request;
}

namespace Platform
{
class http_client;
}

struct daemon_state;
struct service_shard;

/// Requests health reports from replicas without sending them work, as LibBackend decides. Used only on the thread that
/// runs the HTTP client.
class health_requests
{
public:
    health_requests(daemon_state &daemon, Platform::http_client &client);

    /// Sends the health requests that are due. Checks at most once a second.
    void run(Core::time_point now);

private:
    void send(service_shard &service, const Backend::health_request &request);

    daemon_state &m_daemon;
    Platform::http_client &m_client;
    Core::time_point m_nextRun;
};
