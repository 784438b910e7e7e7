#pragma once

#include "LibCore/Time.h"
#include "LibQuery/CancelAttempt.h"
#include "LibQuery/LostShard.h"
#include "LibQuery/QueryResult.h"
#include "LibQuery/SendAttempt.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Query
{
/// What the daemon has to do after a query event.
struct query_effects {
    std::vector<send_attempt> sends;
    std::vector<cancel_attempt> cancels;
    std::vector<std::size_t> answeredShards; ///< Shards that were answered by this event; a branch streams them.
    std::vector<lost_shard> lostShards; ///< Shards that were given up by this event.
    std::optional<Core::time_point> wakeAt; ///< When to call onTimer next; replaces any earlier time. Unset: as before.
    std::optional<query_result> finished; ///< Set once, at the end of the query.
    /// Set at the end in place of a result: the pinned snapshot vanished early enough for one whole restart. The daemon
    /// plans again with the newest snapshot, the same request id and deadline, and query_plan::restarted set.
    bool restart = false;
};
} // namespace Query
