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

/// Sees to it that attempts which are sent now are hedged when they are late; never for requests that are not
/// idempotent.
void planHedges(query_state &query, const Backend::service_state &service, Core::time_point now);

/// Sends the hedges that are due, as far as the service's budget goes, and sets when to look again.
void sendHedges(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                Core::random_engine &random);
} // namespace Query
