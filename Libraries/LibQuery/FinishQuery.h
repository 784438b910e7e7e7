#pragma once

#include "LibCore/Time.h"
#include "LibQuery/QueryEffects.h"

#include <string>

namespace Backend
{
struct service_state;
}

namespace Query
{
struct query_state;

/// Ends the query with what it has, and cancels what still runs. `reason` says why it is incomplete.
void finishQuery(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                 const std::string &reason);

/// Ends this start of the query without a result, so that the daemon starts it anew with the newest snapshot.
void restartQuery(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now);
} // namespace Query
