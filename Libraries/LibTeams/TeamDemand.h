#pragma once

namespace Teams
{
/// One team's claim on the pool.
struct team_demand {
    double share = 0.0; ///< Part of the pool, 0 to 1.
    double demand = 0.0; ///< Shard requests per second, over all daemons.
};
} // namespace Teams
