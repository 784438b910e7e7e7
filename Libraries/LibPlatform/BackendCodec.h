#pragma once

#include "LibBackend/FailedAttempt.h"
#include "LibCore/Time.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"

#include <optional>
#include <string>
#include <variant>

namespace Query
{
struct shard_answer;
}

namespace Platform
{
struct shard_call;

/// Encodes one subrequest for a backend server.
[[nodiscard]] http_call encodeShardCall(const shard_call &call);

/// Encodes the cancellation of a running subrequest.
[[nodiscard]] http_call encodeCancelCall(const shard_call &call);

/// Encodes a health request, which returns a backend server's report without running a query.
[[nodiscard]] http_call encodeHealthCall(const std::string &address);

/// Decodes the response to a health request. Returns nothing unless it contains the incarnation of the process.
[[nodiscard]] std::optional<Backend::replica_report> decodeHealth(const call_outcome &outcome);

/// Decodes the outcome of a subrequest: the shard's answer, or the failure with the report of a replica that refused
/// it.
[[nodiscard]] std::variant<Query::shard_answer, Backend::failed_attempt> decodeShardAnswer(const call_outcome &outcome);
} // namespace Platform
