#pragma once

#include "LibBackend/AttemptFailure.h"
#include "LibQuery/ShardAnswer.h"

#include <optional>

namespace Bench
{
/// What a fake replica sends back: an answer, a failure, or the news that the request was cancelled.
struct fake_reply {
    std::optional<Backend::attempt_failure> failure;
    bool cancelled = false;
    Query::shard_answer answer;
};
} // namespace Bench
