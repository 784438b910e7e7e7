#pragma once

#include "LibCore/Time.h"
#include "LibForward/ReplicaKey.h"

#include <optional>
#include <string>
#include <vector>

namespace Forward
{
struct replica_book;
struct replica_entry;
struct replica_state;
struct service_state;

/// Returns the service's place in the book, which it gets on first use.
std::size_t serviceIndex(replica_book &book, const std::string &name);

[[nodiscard]] replica_state &replicaAt(replica_book &book, const replica_key &key);

/// Takes a registration. Returns the replica's place if this is a new one or a new start, whose connections must be
/// dropped.
std::optional<replica_key> applyEntry(replica_book &book, const replica_entry &entry, Core::time_point now);

/// Takes it that a registration is missing: the replica is chosen only where no other one serves well.
void markMissing(replica_book &book, const std::string &id);

/// Takes the end of a registration. Returns the replica's place if it was known.
std::optional<replica_key> removeEntry(replica_book &book, const std::string &id);

/// Ids of all replicas that are registered.
[[nodiscard]] std::vector<std::string> registeredIds(const replica_book &book);
} // namespace Forward
