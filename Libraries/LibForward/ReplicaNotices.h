#pragma once

#include "LibCore/Time.h"

#include <optional>

/// What replicas ask of this daemon: to send nothing more, since they leave, or to send nothing for a while. Both end
/// when the replica starts again.
namespace Forward
{
struct replica_state;
struct replica_table;
struct request_state;
struct service_state;

/// Records that the replica leaves, as known since `learnedAt`. It serves on for its drain time. For the first half of
/// that it relieves replicas whose queues are long; the other half is left for news that come late.
void recordDeparture(const replica_table &replicaTable, replica_state &replica, Core::time_point learnedAt);

/// Records that an answer of the replica says that it shuts down. It may have left at any time since the latest answer
/// without that. Returns whether it is new.
[[nodiscard]] bool recordShutdownNotice(const replica_table &replicaTable, replica_state &replica,
                                        Core::time_point now);

/// Records that the replica closes a connection after its answer. Replicas that shut down do so, and others only now
/// and then; so this shows that one whose registration is missing has left. Returns whether that is new.
[[nodiscard]] bool recordClosing(const replica_table &replicaTable, replica_state &replica);

/// Records that a refusal of the replica asks this daemon to send nothing for `period`. Adds a delay that differs
/// between the daemons, so that they do not all return at once. Returns whether the time has been extended.
[[nodiscard]] bool recordRetryAfter(const replica_table &replicaTable, replica_state &replica, Core::duration period,
                                    Core::time_point now);

/// Remembers what a replica that is being removed has asked for.
void rememberNotices(replica_table &replicaTable, const replica_state &replica);

/// Applies what the same start of the replica had asked for before it was removed.
void restoreNotices(replica_table &replicaTable, replica_state &replica);

/// Whether the replica takes requests from this daemon at `time`, as far as is known now.
[[nodiscard]] bool acceptsRequests(const replica_state &replica, Core::time_point time);

/// Whether any replica of the service does.
[[nodiscard]] bool hasAcceptingReplica(const service_state &service, Core::time_point time);

/// Returns from when on as many of the services as the request requires have a replica that takes requests. Returns
/// nothing if that is so already, or if it does not depend on the time.
[[nodiscard]] std::optional<Core::time_point> quietUntil(const request_state &request,
                                                         const replica_table &replicaTable, Core::time_point now);
} // namespace Forward
