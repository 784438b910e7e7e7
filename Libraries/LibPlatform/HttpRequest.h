#pragma once

#include <map>
#include <string>

namespace Platform
{
/// A request that the HTTP server received.
struct http_request {
    std::string method; ///< Upper case, as in GET.
    std::string path; ///< Without the query string.
    std::map<std::string, std::string> parameters; ///< From the query string.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};
} // namespace Platform
