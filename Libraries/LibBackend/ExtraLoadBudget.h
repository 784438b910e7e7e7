#pragma once

#include <cstddef>

namespace Backend
{
struct replica_state;

/// Token bucket that the hedges, retries and warm-up requests of one service share. First requests add tokens, so that
/// the extra load stays a fixed fraction of the first requests, however many of them are slow or fail.
struct extra_load_budget {
    double tokens = 10.0; ///< The initial tokens let a newly started daemon retry its first failures.
    double earnedPerRequest = 0.05;
};

/// Adds the tokens that `requests` first requests earn, multiplied by `fraction` where daemons share one budget over
/// two hops.
void earnTokens(extra_load_budget &budget, std::size_t requests, double fraction = 1.0);

/// Takes one token for an extra request. Returns false if none is left.
[[nodiscard]] bool takeToken(extra_load_budget &budget);

/// Adds the fraction of a hedge token that a first attempt at the replica earns. It is larger where cancelled requests
/// release their slots, as given by `honouredFraction`.
void earnHedgeToken(replica_state &replica, double honouredFraction);

/// Takes one token for a hedge at the replica. Returns false if none is left.
[[nodiscard]] bool takeHedgeToken(replica_state &replica);

/// Returns a token that was taken but not used.
void returnToken(extra_load_budget &budget);
} // namespace Backend
