#pragma once

#include "LibQuery/CancelAttempt.h"
#include "OpenSpan.h"

#include <memory>

struct service_shard;

/// A call whose answer is no longer wanted and that has not ended yet. It may outlive its query.
struct cancelled_call {
    service_shard *service = nullptr;
    Query::cancel_attempt attempt;
    std::unique_ptr<open_span> span; ///< Null: not traced.
};
