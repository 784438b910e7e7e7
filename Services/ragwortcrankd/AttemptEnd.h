#pragma once

#include "LibBackend/FailedAttempt.h"
#include "LibQuery/ShardAnswer.h"

#include <variant>

/// The result of an attempt, whether it was sent to a replica or through a branch.
using attempt_end = std::variant<Query::shard_answer, Backend::failed_attempt>;

/// Returns the outcome as written in the tag of a span.
[[nodiscard]] const char *outcomeName(const attempt_end &end);
