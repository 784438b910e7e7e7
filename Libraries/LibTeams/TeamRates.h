#pragma once

namespace Teams
{
/// Offered and admitted load of one team, in shard requests per second.
struct team_rates {
    double demand = 0.0; ///< Offered load, admitted or not.
    double admitted = 0.0;
    bool operator==(const team_rates &) const = default;
};
} // namespace Teams
