#pragma once

#include "LibCore/Time.h"

#include <optional>

namespace Forward
{
enum class attempt_failure;
enum class attempt_kind;
struct load_report;
struct replica_table;
struct replica_key;
struct replica_state;

/// Records that a request was sent to a replica.
void recordSent(replica_table &replicaTable, const replica_key &key, attempt_kind kind, Core::time_point now);

/// Records a complete response to a request that was sent at `sentAt`.
void recordAnswer(replica_table &replicaTable, const replica_key &key, Core::time_point sentAt, Core::time_point now);

/// Records the end of a request without a usable response.
void recordFailure(replica_table &replicaTable, const replica_key &key, attempt_failure failure,
                   Core::time_point sentAt, Core::time_point now);

/// Records the load that a replica reported.
void recordLoad(replica_table &replicaTable, const replica_key &key, const load_report &report);

/// Records the request rate limit that an answer of the replica states; nothing if the answer states none. Returns
/// whether the limit has changed.
[[nodiscard]] bool recordRequestLimit(replica_state &replica, std::optional<double> perSecond, Core::time_point now);
} // namespace Forward
