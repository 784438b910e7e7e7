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

/// Pins a snapshot and lists the shards to ask.
/// Errors: NotFound for an unknown service or route or a service without a snapshot, Unauthorized for a service that
/// the team may not use, InvalidInput for a missing shard key.
[[nodiscard]] Core::result<query_plan> planQuery(const Configuration::configuration_document &document,
                                                 const query_request &request, const std::string &version,
                                                 Core::time_point now);
} // namespace Query
