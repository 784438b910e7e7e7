#pragma once

#include "LibCore/Time.h"
#include "LibQuery/CancelAttempt.h"
#include "LibQuery/FailedShard.h"
#include "LibQuery/QueryResult.h"
#include "LibQuery/SendAttempt.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Query
{
/// The actions that the daemon performs after a query event.
struct query_effects {
    std::vector<send_attempt> sends;
    std::vector<cancel_attempt> cancels;
    std::vector<std::size_t> answeredShards; ///< Shards answered by this event; a branch streams their results.
    std::vector<failed_shard> failedShards; ///< Shards that failed for good by this event.
    std::optional<Core::time_point> wakeAt; ///< Next call of `onTimer()`; replaces the previous time. Unset: unchanged.
    std::optional<query_result> finished; ///< Set once, when the query ends.
    /// Set when the query ends without a result because the pinned snapshot was removed, with enough time left for one
    /// restart. The daemon plans the query again with the current snapshot, the same request id and deadline, and
    /// query_plan::restarted set.
    bool restart = false;
};
} // namespace Query
