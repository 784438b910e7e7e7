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

/// Returns whether the shard's replicas are owned by other daemons only, so that the query needs a branch for it.
[[nodiscard]] bool needsPeer(const query_state &query, const Backend::service_state &service, std::size_t shard);

/// Chooses the daemon to which the request for a shard is sent: an owner that the query already uses as a branch, else
/// the less loaded of two randomly drawn owners. Excludes daemons that were already tried for the shard. Returns an
/// empty string if no owner is left.
[[nodiscard]] std::string choosePeer(query_state &query, const Backend::service_state &service, std::size_t shard,
                                     Core::time_point now, Core::random_engine &random);

/// Returns the owner that runs the slow start of one of the shard's cold replicas, for a shard without a replica that
/// this daemon may use. Returns an empty string if no other daemon runs such a slow start.
[[nodiscard]] std::string chooseSlowStartOwner(const query_state &query, const Backend::service_state &service,
                                               std::size_t shard, Core::time_point now);
} // namespace Query
