#pragma once

#include <map>
#include <string>

namespace Platform
{
/// A response sent by the HTTP server or received by the HTTP client.
struct http_response {
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers; ///< Names in lower case when received.
    std::string contentType = "application/json"; ///< Only used when sending.
};
} // namespace Platform
