#include "LibBackend/ExtraLoadBudget.h"

#include "LibBackend/ReplicaState.h"

#include <algorithm>

namespace Backend
{
/// Limits the burst of extra requests after an idle period. A query of 520 shards earns 26 tokens.
static constexpr double maximumTokens = 100.0;

void earnTokens(extra_load_budget &budget, std::size_t requests, double fraction)
{
    const double earned = budget.earnedPerRequest * fraction * static_cast<double>(requests);
    budget.tokens = std::min(budget.tokens + earned, maximumTokens);
}

bool takeToken(extra_load_budget &budget)
{
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

void earnHedgeToken(replica_state &replica, double honouredFraction)
{
    constexpr double unconditionalTokens = 0.1;
    constexpr double honouredTokens = 0.4;
    constexpr double maximumHedgeTokens = 3.0;
    const double earned = unconditionalTokens + honouredTokens * honouredFraction;
    replica.hedgeTokens = std::min(replica.hedgeTokens + earned, maximumHedgeTokens);
}

bool takeHedgeToken(replica_state &replica)
{
    if (replica.hedgeTokens < 1.0) {
        return false;
    }
    replica.hedgeTokens -= 1.0;
    return true;
}

void returnToken(extra_load_budget &budget)
{
    budget.tokens += 1.0;
}
} // namespace Backend
