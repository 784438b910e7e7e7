#pragma once

#include <string>

namespace Platform
{
struct http_request;
}

/// Returns the key of an "Authorization: Bearer KEY" header, or an empty string.
[[nodiscard]] std::string bearerKey(const Platform::http_request &request);
