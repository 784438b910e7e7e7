#pragma once

#include "LibCore/Time.h"
#include "LibPlatform/ConnectionReuse.h"
#include "LibPlatform/ResponseHeaders.h"

#include <optional>
#include <string>
#include <vector>

namespace Platform
{
/// A request to send with the HTTP client.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< As in "X-Name: value".
    std::string body;
    Core::duration timeout {}; ///< Zero: no timeout.
    connection_reuse reuse = connection_reuse::Allowed;
    response_headers responseHeaders = response_headers::Kept;
    std::optional<Core::duration> maximumConnectionAge; ///< Older kept connections are closed instead of reused.
};
} // namespace Platform
