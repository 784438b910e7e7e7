#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Backend
{
struct service_state;
}

namespace Configuration
{
struct configuration_document;
}

namespace Query
{
struct query_plan;
struct shard_answer;
} // namespace Query

namespace Bench
{
/// Makes the state of the service of targetSizeDocument() with every replica warm and owned by this daemon.
[[nodiscard]] Backend::service_state warmService(const Configuration::configuration_document &document,
                                                 Core::time_point now);

/// Plans a query to all shards of targetSizeDocument().
[[nodiscard]] Query::query_plan samplePlan(const Configuration::configuration_document &document, Core::time_point now);

/// Makes the answer of one shard, with three items.
[[nodiscard]] Query::shard_answer sampleAnswer(const Query::query_plan &plan, std::size_t shard);

/// Counts the peers that a root asks for one query in a fleet of `members`, all of which know each other. Every replica
/// is warm: those in cold start would have their shards sent to their warmers besides.
[[nodiscard]] std::size_t countBranchCalls(const Configuration::configuration_document &document, std::size_t members,
                                           std::size_t root);
} // namespace Bench
