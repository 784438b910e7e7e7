#pragma once

#include "LibCore/Time.h"
#include "LibQuery/QueryResult.h"
#include "LibQuery/SendAttempt.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Query
{
/// What the daemon has to do after a query event.
struct query_effects {
    std::vector<send_attempt> sends;
    std::vector<std::uint64_t> cancels; ///< Attempts whose answer is no longer wanted.
    std::vector<std::size_t> answeredShards; ///< Shards that were answered by this event; a branch streams them.
    std::optional<Core::time_point> wakeAt; ///< When to call onTimer next; replaces any earlier time.
    std::optional<query_result> finished; ///< Set once, at the end of the query.
    bool restart = false; ///< The pinned snapshot vanished in time for one restart: plan again and start anew.
};
} // namespace Query
