#pragma once

#include "LibCore/Time.h"

namespace Forward
{
enum class attempt_failure;
struct load_report;
struct replica_table;
struct replica_key;

/// Records that a request was sent to a replica.
void recordSent(replica_table &replicaTable, const replica_key &key, Core::time_point now);

/// Records a complete response to a request that was sent at `sentAt`.
void recordAnswer(replica_table &replicaTable, const replica_key &key, Core::time_point sentAt, Core::time_point now);

/// Records the end of a request without a usable response.
void recordFailure(replica_table &replicaTable, const replica_key &key, attempt_failure failure,
                   Core::time_point sentAt, Core::time_point now);

/// Records the load that a replica reported.
void recordLoad(replica_table &replicaTable, const replica_key &key, const load_report &report);
} // namespace Forward
