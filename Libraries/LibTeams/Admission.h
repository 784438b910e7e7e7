#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/Time.h"
#include "LibTeams/Refusal.h"
#include "LibTeams/TeamAdmission.h"

#include <optional>

namespace Teams
{
/// Decides on the admission of a query that costs `cost` shard requests. Returns nothing if it is admitted. Within a
/// team, alerts are refused last and ordinary requests first.
[[nodiscard]] std::optional<refusal> admit(team_admission &team, Configuration::priority_class priority, double cost);

/// Reverts the admission of a query that was later refused for another reason.
void revertAdmission(team_admission &team, double cost);

/// Updates the team's rates at this daemon.
void updateRates(team_admission &team, Core::time_point now);

/// Updates and returns the team's claim on the pool, given the summed rates of all daemons. The claim decays slowly, so
/// that a short underestimate does not limit a team below its share.
[[nodiscard]] double updateClaim(team_admission &team, const team_rates &total, Core::duration sinceLast);

/// Updates the fraction of the team's queries that this daemon admits, given the summed rates of all daemons and the
/// team's granted part of the pool (shard requests per second). What the daemons admitted beyond the grant before they
/// received the current rates is compensated by admitting less.
void updateAdmissionFactor(team_admission &team, const team_rates &total, double granted, Core::duration sinceLast);

/// Admits all queries of the team. Used if the capacity of the pool is not configured or the team is within its grant.
void removeLimit(team_admission &team);
} // namespace Teams
