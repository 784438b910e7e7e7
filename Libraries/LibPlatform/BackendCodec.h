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

/// Encodes one shard request for a backend server.
[[nodiscard]] http_call encodeShardCall(const shard_call &call);

/// Encodes the cancellation of a running shard request.
[[nodiscard]] http_call encodeCancelCall(const shard_call &call);

/// Encodes a request for a backend server's report that runs nothing.
[[nodiscard]] http_call encodeHealthCall(const std::string &address);

/// Decodes the answer to a health request; nothing unless it names the process that answered.
[[nodiscard]] std::optional<Backend::replica_report> decodeHealth(const call_outcome &outcome);

/// Decodes what came back: an answer, or how the attempt failed with what a refusing replica said of itself.
[[nodiscard]] std::variant<Query::shard_answer, Backend::failed_attempt> decodeShardAnswer(const call_outcome &outcome);
} // namespace Platform
