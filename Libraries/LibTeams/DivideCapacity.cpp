#include "LibTeams/DivideCapacity.h"

#include <algorithm>
#include <cstddef>

namespace Teams
{
std::vector<double> divideCapacity(const std::vector<team_demand> &claims, double capacity)
{
    // Lets teams without a configured share borrow what the other teams leave over.
    constexpr double minimumShare = 1e-6;
    std::vector<double> granted;
    double remaining = capacity;
    for (const team_demand &claim : claims) {
        granted.push_back(std::min(claim.demand, claim.share * capacity));
        remaining -= granted.back();
    }
    // Each round satisfies at least one team or distributes all remaining capacity.
    for (std::size_t round = 0; round < claims.size() && remaining > 0.0; ++round) {
        double shares = 0.0;
        for (std::size_t index = 0; index < claims.size(); ++index) {
            shares += granted[index] < claims[index].demand ? std::max(claims[index].share, minimumShare) : 0.0;
        }
        if (shares <= 0.0) {
            break;
        }
        const double perShare = remaining / shares;
        for (std::size_t index = 0; index < claims.size(); ++index) {
            const double unmetDemand = claims[index].demand - granted[index];
            const double lent = std::min(unmetDemand, perShare * std::max(claims[index].share, minimumShare));
            if (lent > 0.0) {
                granted[index] += lent;
                remaining -= lent;
            }
        }
    }
    return granted;
}
} // namespace Teams
