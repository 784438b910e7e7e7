#pragma once

#include "LibCore/Result.h"
#include "LibQuery/QueryRequest.h"

namespace Platform
{
struct http_request;
}

/// Decodes POST /v1/query/{service}/{route}: path, headers and the JSON body with "query", "key" and "deadline_ms".
/// Leaves the team empty. Errors: InvalidInput with a message that names the invalid member.
[[nodiscard]] Core::result<Query::query_request> decodeCallerRequest(const Platform::http_request &request);
