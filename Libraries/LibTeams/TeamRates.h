#pragma once

namespace Teams
{
/// What one team asks for and what it is given, in shard requests per second.
struct team_rates {
    double demand = 0.0; ///< Offered, whether admitted or not.
    double admitted = 0.0;
    bool operator==(const team_rates &) const = default;
};
} // namespace Teams
