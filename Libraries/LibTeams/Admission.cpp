#include "LibTeams/Admission.h"

#include <algorithm>
#include <cmath>

using Configuration::priority_class;

namespace Teams
{
/// Time constant for smoothing the recent rates.
static constexpr std::chrono::milliseconds recentTimeConstant {400};
/// Time constant for smoothing the steady rates while they do not differ significantly from the recent ones.
static constexpr std::chrono::milliseconds steadyTimeConstant {800};
/// Difference between recent and steady rate, in standard deviations of Poisson arrivals, from which the recent rate
/// replaces the steady one.
static constexpr double significanceThreshold = 2.5;
/// Time constant with which a claim decays to the demand.
static constexpr std::chrono::milliseconds claimTimeConstant {800};
/// Time over which an overdraft is compensated by admitting less.
static constexpr std::chrono::seconds overdraftRepaymentTime {2};
/// Maximum of accumulated credit, in queries of the largest cost.
static constexpr double maximumCreditQueries = 4.0;
/// Maximum debt (negative credit) caused by alerts, in queries of the largest cost. Refusals of the other classes
/// compensate for it.
static constexpr double maximumAlertDebtQueries = 16.0;
/// Decay of the largest cost per query.
static constexpr double largestCostDecay = 0.999;

const char *refusalText(refusal_reason reason)
{
    return reason == refusal_reason::OverShare ? "the team is over its share" : "the system is overloaded";
}

/// Returns the minimum credit for admission of a class. It does not depend on the query's own cost, so that large
/// queries are not refused more often than small ones.
static double creditNeeded(priority_class priority, double largestCost)
{
    switch (priority) {
    case priority_class::Alert:
        return -maximumAlertDebtQueries * largestCost;
    case priority_class::Lookup:
        return 0.0;
    case priority_class::Ordinary:
        return largestCost;
    }
    return largestCost;
}

std::optional<refusal> admit(team_admission &team, priority_class priority, double cost)
{
    constexpr std::chrono::milliseconds retryAfter {1000};
    team.offeredSinceUpdate += cost;
    team.largestCost = std::max(team.largestCost * largestCostDecay, cost);
    if (team.factor < 1.0) {
        // The credit is checked before the query's own contribution, which would favour large queries.
        const bool refused = team.credit < creditNeeded(priority, team.largestCost);
        team.credit += team.factor * cost - (refused ? 0.0 : cost);
        team.credit = std::min(team.credit, maximumCreditQueries * team.largestCost);
        if (refused) {
            return refusal {refusal_reason::OverShare, retryAfter};
        }
    }
    team.admittedSinceUpdate += cost;
    return std::nullopt;
}

void revertAdmission(team_admission &team, double cost)
{
    team.admittedSinceUpdate = std::max(0.0, team.admittedSinceUpdate - cost);
    if (team.factor < 1.0) {
        team.credit += cost;
    }
}

static void smooth(double &rate, double sample, double elapsed, Core::duration timeConstant)
{
    rate += (1.0 - std::exp(-elapsed / Core::toSeconds(timeConstant))) * (sample - rate);
}

static bool hasChanged(double steady, double recent, double cost)
{
    // Exponential smoothing averages over about twice its time constant.
    const double queries = std::max(steady, recent) / std::max(cost, 1.0) * 2.0 * Core::toSeconds(recentTimeConstant);
    return std::abs(recent - steady) * std::sqrt(queries) > significanceThreshold * std::max(steady, recent);
}

void updateRates(team_admission &team, Core::time_point now)
{
    const double elapsed = Core::toSeconds(now - team.updatedAt);
    if (elapsed <= 0.0) {
        return;
    }
    const team_rates sample {team.offeredSinceUpdate / elapsed, team.admittedSinceUpdate / elapsed};
    smooth(team.recent.demand, sample.demand, elapsed, recentTimeConstant);
    smooth(team.recent.admitted, sample.admitted, elapsed, recentTimeConstant);
    if (hasChanged(team.rates.demand, team.recent.demand, team.largestCost)
        || hasChanged(team.rates.admitted, team.recent.admitted, team.largestCost)) {
        team.rates = team.recent;
    } else {
        smooth(team.rates.demand, sample.demand, elapsed, steadyTimeConstant);
        smooth(team.rates.admitted, sample.admitted, elapsed, steadyTimeConstant);
    }
    team.offeredSinceUpdate = 0.0;
    team.admittedSinceUpdate = 0.0;
    team.updatedAt = now;
}

double updateClaim(team_admission &team, const team_rates &total, Core::duration sinceLast)
{
    const double kept = std::exp(-Core::toSeconds(sinceLast) / Core::toSeconds(claimTimeConstant));
    team.claim = std::max(total.demand, total.demand + (team.claim - total.demand) * kept);
    return team.claim;
}

void updateAdmissionFactor(team_admission &team, const team_rates &total, double granted, Core::duration sinceLast)
{
    // The overdraft is bounded, so that a wrong estimate cannot exclude a team for long.
    const double maximumOverdraft = granted * Core::toSeconds(overdraftRepaymentTime);
    const double minimumOverdraft = team.claim > granted ? -maximumOverdraft / 4.0 : 0.0;
    team.overdraft += (total.admitted - granted) * Core::toSeconds(sinceLast);
    team.overdraft = std::clamp(team.overdraft, minimumOverdraft, maximumOverdraft);
    if (team.claim <= granted) {
        removeLimit(team);
        return;
    }
    const double target = granted - team.overdraft / Core::toSeconds(overdraftRepaymentTime);
    team.factor = std::clamp(target / std::max(total.demand, 1.0), 0.0, 1.0);
}

void removeLimit(team_admission &team)
{
    team.factor = 1.0;
    team.credit = 0.0;
}
} // namespace Teams
