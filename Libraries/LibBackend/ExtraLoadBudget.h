#pragma once

#include <cstddef>

namespace Backend
{
struct replica_state;

/// The tokens that hedges and retries of one service share. First requests earn them, so that extra load stays a fixed
/// part of first load however many requests are slow or fail.
struct extra_load_budget {
    double tokens = 10.0; ///< The first ones let a fresh daemon retry its first failures.
    double earnedPerRequest = 0.05;
};

/// Adds what `requests` first requests earn; `part` of it for daemons that share one budget over two hops.
void earnTokens(extra_load_budget &budget, std::size_t requests, double part = 1.0);

/// Takes the token for one extra request; false if there is none.
[[nodiscard]] bool takeToken(extra_load_budget &budget);

/// Lets a first attempt at a replica earn its part of a hedge there: more where cancelled losers give their slots back.
void earnHedgeToken(replica_state &replica, double honouredPart);

/// Takes the token for one hedge at a replica; false if there is none.
[[nodiscard]] bool takeHedgeToken(replica_state &replica);

/// Gives back a token that was not used after all.
void returnToken(extra_load_budget &budget);
} // namespace Backend
