#pragma once

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
    std::size_t mostRequestBytes = std::size_t(2) << 20U; ///< Larger requests are refused with status 413.
    std::chrono::milliseconds headerTimeout {5000}; ///< A slower sender's connection is closed.
    std::chrono::milliseconds bodyTimeout {10000};
    std::chrono::milliseconds keepAliveTimeout {300'000};
};
} // namespace Platform
