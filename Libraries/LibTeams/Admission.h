#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/Time.h"
#include "LibTeams/Refusal.h"
#include "LibTeams/TeamAdmission.h"

#include <optional>

namespace Teams
{
/// Decides on one query that costs `cost` shard requests. Returns nothing if it is admitted. Within a team alerts are
/// refused last and ordinary requests first.
[[nodiscard]] std::optional<refusal> admit(team_admission &team, Configuration::priority_class priority, double cost);

/// Takes back the admission of a query that was refused afterwards for another reason.
void withdraw(team_admission &team, double cost);

/// Brings the team's rates at this daemon up to date.
void updateRates(team_admission &team, Core::time_point now);

/// Returns the team's claim on the pool, given the rates of all daemons together. It falls slowly, so that a team is
/// not cut below its share because an estimate came out low for a moment.
[[nodiscard]] double updateClaim(team_admission &team, const team_rates &total, Core::duration sinceLast);

/// Sets the part that the daemon admits from now on, given the rates of all daemons together and the team's part of the
/// pool (shard requests per second). What was admitted beyond it before the daemons knew is held back afterwards.
void updateFactor(team_admission &team, const team_rates &total, double granted, Core::duration sinceLast);

/// Lets everything through, for a pool without a stated capacity.
void removeLimit(team_admission &team);
} // namespace Teams
