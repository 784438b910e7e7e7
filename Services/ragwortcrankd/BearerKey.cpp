#include "BearerKey.h"

#include "LibPlatform/HttpRequest.h"

std::string bearerKey(const Platform::http_request &request)
{
    const auto found = request.headers.find("authorization");
    const std::string prefix = "Bearer ";
    if (found == request.headers.end() || !found->second.starts_with(prefix)) {
        return {};
    }
    return found->second.substr(prefix.size());
}
