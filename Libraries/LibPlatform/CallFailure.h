#pragma once

namespace Platform
{
/// Why an HTTP call ended without a complete response.
enum class call_failure {
    None,
    ConnectFailed, ///< No byte of the request was sent.
    ConnectionLost, ///< The connection broke after bytes may have been sent.
    InvalidResponse, ///< A response arrived that is not HTTP's; the request may have been executed.
    TimedOut, ///< No complete response within the timeout; the connection was closed.
};
} // namespace Platform
