#pragma once

#include "LibQuery/AtMostOnceDecision.h"

#include <string>

/// What is known of a non-idempotent request: the decision, and the answer if the request has ended.
struct once_answer {
    Query::at_most_once_decision decision = Query::at_most_once_decision::Unknown;
    int status = 0; ///< HTTP status of the answer; only with at_most_once_decision::Replay.
    std::string body; ///< The answer as its caller got it; only with at_most_once_decision::Replay.
};
