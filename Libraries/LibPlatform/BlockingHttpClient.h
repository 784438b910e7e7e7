#pragma once

#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpClient.h"

namespace Platform
{
struct http_call;

/// A synchronous HTTP client that sends one call at a time and keeps connections alive. Must be used from one thread.
class blocking_http_client
{
public:
    blocking_http_client();

    /// Sends the call and waits for its outcome. The call must have a timeout.
    [[nodiscard]] call_outcome send(http_call call);

private:
    http_client m_client;
};
} // namespace Platform
