#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <string>

namespace Backend
{
struct service_state;
}

namespace Query
{
struct query_state;

/// Whether the shard's replicas belong to other daemons, so that the query needs a branch for it.
[[nodiscard]] bool needsPeer(const query_state &query, const Backend::service_state &service, std::size_t shard);

/// Chooses the daemon that asks a shard for this query: one that the query already uses if it owns the shard, else the
/// less loaded of two owners. Daemons that were tried for the shard are left out. Empty: none is left.
[[nodiscard]] std::string choosePeer(query_state &query, const Backend::service_state &service, std::size_t shard,
                                     Core::time_point now, Core::random_engine &random);

/// Returns the daemon that warms one of the shard's cold replicas, for a shard of which this daemon may use none.
/// Empty: no other daemon does.
[[nodiscard]] std::string chooseWarmer(const query_state &query, const Backend::service_state &service,
                                       std::size_t shard, Core::time_point now);
} // namespace Query
