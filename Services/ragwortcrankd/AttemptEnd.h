#pragma once

#include "LibBackend/FailedAttempt.h"
#include "LibQuery/ShardAnswer.h"

#include <variant>

/// How an attempt ended, wherever it went.
using attempt_end = std::variant<Query::shard_answer, Backend::failed_attempt>;

/// Names the end as the tag of a span does.
[[nodiscard]] const char *outcomeName(const attempt_end &end);
