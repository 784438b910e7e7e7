#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibQuery/QueryEffects.h"

namespace Backend
{
struct service_state;
}

namespace Query
{
struct query_state;

/// Schedules the hedge check for attempts that are sent now. Requests that are not idempotent are never hedged.
void scheduleHedges(query_state &query, const Backend::service_state &service, Core::time_point now);

/// Sends the hedges that are due, within the service's extra-load budget, and schedules the next check.
void sendHedges(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                Core::random_engine &random);
} // namespace Query
