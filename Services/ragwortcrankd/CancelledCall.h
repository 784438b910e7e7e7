#pragma once

#include "LibQuery/CancelAttempt.h"
#include "OpenSpan.h"

#include <memory>

struct service_shard;

/// A cancelled call whose response is no longer needed but that has not ended yet. It may outlive its query.
struct cancelled_call {
    service_shard *service = nullptr;
    Query::cancel_attempt attempt;
    std::unique_ptr<open_span> span; ///< Null: not traced.
};
