#pragma once

#include "LibCore/Finding.h"
#include "LibPlatform/HttpResponse.h"

#include <string>
#include <vector>

namespace Query
{
struct query_result;
}

namespace Teams
{
struct refusal;
}

/// Encodes the result of a query as the response to the caller.
[[nodiscard]] Platform::http_response encodeResult(const Query::query_result &result);

/// Encodes a refusal by admission control: the outcome is not_run, with a hint when to retry.
[[nodiscard]] Platform::http_response encodeOverload(const std::string &requestId, const Teams::refusal &refused);

/// Encodes a refusal before any request was sent to a backend server: the outcome is not_run.
[[nodiscard]] Platform::http_response encodeRefusal(int status, const std::string &requestId,
                                                    const std::string &reason);

/// Encodes the response to a request that may have run: the outcome is unknown.
[[nodiscard]] Platform::http_response encodeUnknown(const std::string &requestId, const std::string &reason);

/// Encodes an error of an operator request with its findings.
[[nodiscard]] Platform::http_response encodeError(int status, const std::string &message,
                                                  const std::vector<Core::finding> &findings = {});
