#pragma once

namespace Platform
{
/// How an HTTP call ended without a whole response.
enum class call_failure {
    None,
    ConnectFailed, ///< No byte of the request left.
    ConnectionLost, ///< The connection broke after bytes may have left.
    TimedOut, ///< No whole response in time; the connection was closed.
};
} // namespace Platform
