#pragma once

#include "LibQuery/AtMostOnceDecision.h"

#include <string>

/// The decision for a non-idempotent request, with its response if the request has ended.
struct at_most_once_answer {
    Query::at_most_once_decision decision = Query::at_most_once_decision::Unknown;
    int status = 0; ///< HTTP status of the response; set only with once_decision::Replay.
    std::string body; ///< The response body as the caller received it; set only with once_decision::Replay.
};
