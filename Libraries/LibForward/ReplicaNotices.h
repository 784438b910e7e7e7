#pragma once

#include "LibCore/Time.h"

/// What a replica's answers ask of this daemon: to send nothing more, since the replica shuts down, or to send nothing
/// for a while. Both end with the replica's start: a replica that registers a new one is asked again.
namespace Forward
{
struct replica_state;
struct replica_table;

/// Records that an answer of the replica says that it shuts down. Returns whether that is new.
[[nodiscard]] bool recordShutdownNotice(replica_state &replica);

/// Records that a refusal of the replica asks this daemon to send nothing for `period`. Adds a delay that differs
/// between the daemons, so that they do not all return at once. Returns whether the time has been extended.
[[nodiscard]] bool recordRetryAfter(const replica_table &replicaTable, replica_state &replica, Core::duration period,
                                    Core::time_point now);
} // namespace Forward
