#pragma once

namespace Teams
{
/// One team's claim on the pool.
struct team_demand {
    double share = 0.0; ///< The team's share of the pool, 0 to 1.
    double demand = 0.0; ///< Shard requests per second at all daemons.
};
} // namespace Teams
