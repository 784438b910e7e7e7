#pragma once

#include "LibCore/Time.h"

#include <optional>

/// Request limits that replicas state for all daemons together. The load pattern: a replica in trouble accepts part of
/// the usual requests, and the daemons near it would send nearly all of them. The daemons divide the limit by the
/// membership view, without messages: most of it goes to those in the replica's region, and few daemons share a small
/// limit, so that each share is worth at least a request per second.
namespace Forward
{
enum class attempt_kind;
struct replica_state;
struct replica_table;

/// Records the limit that an answer of the replica states; nothing if the answer states none. Returns whether the
/// limit has changed.
[[nodiscard]] bool recordRequestLimit(const replica_table &replicaTable, replica_state &replica,
                                      std::optional<double> perSecond, Core::time_point now);

/// Computes this daemon's shares anew, after the daemons that share the limits have changed.
void updateRequestShares(replica_table &replicaTable, Core::time_point now);

/// Whether the replica's limit allows this daemon another attempt now. Hedges never use a limited replica.
[[nodiscard]] bool isWithinRequestLimit(const replica_state &replica, attempt_kind kind, Core::time_point now);

/// Counts an attempt against the replica's limit.
void takeLimitedRequest(replica_state &replica, Core::time_point now);

/// Returns an attempt that was counted and reached no replica.
void returnLimitedRequest(replica_state &replica, Core::time_point now);
} // namespace Forward
