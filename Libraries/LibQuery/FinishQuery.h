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

/// Finishes the query with the items merged so far and cancels all attempts in flight. `reason` explains to the caller
/// why the result is incomplete.
void finishQuery(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                 const std::string &reason);

/// Ends this run of the query without a result and asks the daemon to restart it with the current snapshot.
void restartQuery(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now);
} // namespace Query
