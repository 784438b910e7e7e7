#pragma once

#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpClient.h"

namespace Platform
{
struct http_call;

/// Sends one call at a time and waits for its end, on kept connections. Belongs to one thread.
class blocking_http_client
{
public:
    blocking_http_client();

    /// Sends the call and returns how it ended. The call must have a timeout.
    [[nodiscard]] call_outcome send(http_call call);

private:
    http_client m_client;
};
} // namespace Platform
