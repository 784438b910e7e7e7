#pragma once

#include "LibCore/Time.h"
#include "LibForward/ReplicaKey.h"

#include <optional>
#include <string>
#include <vector>

namespace Forward
{
struct replica_table;
struct replica_registration;
struct replica_state;
struct service_state;

/// Returns the index of the service in the replica table. A service that is not in it yet is added.
std::size_t serviceIndex(replica_table &replicaTable, const std::string &name);

[[nodiscard]] replica_state &replicaAt(replica_table &replicaTable, const replica_key &key);

/// Adds or updates a replica from its registration. Returns the replica's key if the replica is new or was restarted,
/// in which case existing connections to it must be closed. `now` is when the registration was read from the store.
std::optional<replica_key> applyRegistration(replica_table &replicaTable, const replica_registration &registration,
                                             Core::time_point now);

/// Marks a replica whose registration is missing. It is chosen only if no registered replica serves well.
void markMissing(replica_table &replicaTable, const std::string &id, Core::time_point learnedAt);

/// Removes a replica. Returns its key if the replica was known.
std::optional<replica_key> removeReplica(replica_table &replicaTable, const std::string &id);

/// Returns the version that serves while replicas of several versions are registered and no rollout is known: the one
/// that served before, or that of the replica that has run longest. Replicas of a new version start before the order to
/// use them is known, and a daemon may not know the order at all.
[[nodiscard]] const std::string &establishedVersion(service_state &service);

/// Returns the ids of all replicas that have not been removed.
[[nodiscard]] std::vector<std::string> registeredReplicaIds(const replica_table &replicaTable);
} // namespace Forward
