#pragma once

#include <map>
#include <string>

namespace Platform
{
/// An answer of the HTTP server, or one that the HTTP client received.
struct http_response {
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers; ///< Names in lower case when received.
    std::string contentType = "application/json"; ///< Only used when sending.
};
} // namespace Platform
