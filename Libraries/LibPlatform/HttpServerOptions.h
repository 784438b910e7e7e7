#pragma once

#include "LibConfiguration/Limits.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Platform
{
/// How an HTTP server listens and what it accepts.
struct http_server_options {
    std::string address; ///< IP address to listen on.
    std::uint16_t port = 0;
    int threads = 2;
    std::size_t maximumRequestBytes = std::size_t(2) << 20U; ///< Larger requests are rejected with status 413.
    /// The connection of a sender that takes longer to send a complete request is closed. Pistache's timer keeps
    /// running until the response is sent, so this must exceed the maximum response time.
    std::chrono::milliseconds requestTimeout = Configuration::maximumRouteDeadline + std::chrono::seconds(15);
    std::chrono::milliseconds keepAliveTimeout {300'000};
};
} // namespace Platform
