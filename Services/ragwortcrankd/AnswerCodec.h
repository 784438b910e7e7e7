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

/// Encodes a query's result as the caller's answer.
[[nodiscard]] Platform::http_response encodeResult(const Query::query_result &result);

/// Encodes a refusal by admission: the outcome is not_run, with a hint when to try again.
[[nodiscard]] Platform::http_response encodeOverload(const std::string &requestId, const Teams::refusal &refused);

/// Encodes a refusal before any backend server was asked: the outcome is not_run.
[[nodiscard]] Platform::http_response encodeRefusal(int status, const std::string &requestId,
                                                    const std::string &reason);

/// Encodes an answer for a request that may have run.
[[nodiscard]] Platform::http_response encodeUnknown(const std::string &requestId, const std::string &reason);

/// Encodes an error of an operator request with its findings.
[[nodiscard]] Platform::http_response encodeError(int status, const std::string &message,
                                                  const std::vector<Core::finding> &findings = {});
