#pragma once

#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibQuery/QueryPlan.h"

#include <string>

namespace Configuration
{
struct configuration_document;
}

namespace Query
{
struct query_request;

/// Plans a query: pins the current snapshot, selects the shards and sets the deadline.
/// Errors: NotFound for an unknown service or route or a service without a snapshot, Unauthorized for a service that
/// the team may not use, InvalidInput for a missing shard key.
[[nodiscard]] Core::result<query_plan> planQuery(const Configuration::configuration_document &document,
                                                 const query_request &request, const std::string &version,
                                                 Core::time_point now);
} // namespace Query
