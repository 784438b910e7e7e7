#include "AdmissionControl.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibQuery/QueryResult.h"
#include "LibTeams/Admission.h"
#include "LibTeams/DivideCapacity.h"
#include "LibTeams/Overload.h"
#include "LibTeams/UsageCodec.h"
#include "TeamShard.h"

#include <algorithm>
#include <vector>

admission_control::admission_control() = default;
admission_control::~admission_control() = default;

team_shard &admission_control::find(const std::string &team)
{
    {
        const std::shared_lock lock(m_mutex);
        const auto found = m_teams.find(team);
        if (found != m_teams.end()) {
            return *found->second;
        }
    }
    const std::unique_lock lock(m_mutex);
    std::unique_ptr<team_shard> &shard = m_teams[team];
    if (shard == nullptr) {
        shard = std::make_unique<team_shard>();
    }
    return *shard;
}

std::optional<Teams::refusal> admission_control::admit(const admitted_query &query)
{
    team_shard &team = find(query.team);
    const std::scoped_lock lock(team.mutex);
    std::optional<Teams::refusal> refused = Teams::admit(team.admission, query.priority, query.cost);
    if (!refused) {
        const std::scoped_lock loadLock(m_loadMutex);
        refused = Teams::startLoad(m_load, query.priority, query.cost);
        if (refused) {
            Teams::revertAdmission(team.admission, query.cost);
        }
    }
    ++(refused ? team.account.refused : team.account.queries);
    return refused;
}

void admission_control::end(const admitted_query &query, const Query::query_result &result, Core::time_point now)
{
    {
        const std::scoped_lock lock(m_loadMutex);
        Teams::endLoad(m_load, query.priority, query.cost, now - query.startedAt, query.deadline - query.startedAt,
                       now);
    }
    team_shard &team = find(query.team);
    const std::scoped_lock lock(team.mutex);
    team.account.shardRequests += result.shardRequests;
    team.account.extraShardRequests += result.shardRequests - std::min(result.shardRequests, result.shardsTotal);
}

std::map<std::uint32_t, Teams::team_rates>
admission_control::updateRates(const Configuration::configuration_document &document, Core::time_point now)
{
    std::map<std::uint32_t, Teams::team_rates> rates;
    for (const auto &[name, settings] : document.teams) {
        team_shard &team = find(name);
        const std::scoped_lock lock(team.mutex);
        Teams::updateRates(team.admission, now);
        rates[Teams::teamKey(name)] = team.admission.rates;
    }
    return rates;
}

void admission_control::updateFactors(const Configuration::configuration_document &document,
                                      const std::map<std::uint32_t, Teams::team_rates> &totals,
                                      Core::duration sinceLast)
{
    const auto totalOf = [&totals](const std::string &name) {
        const auto found = totals.find(Teams::teamKey(name));
        return found == totals.end() ? Teams::team_rates() : found->second;
    };
    std::vector<Teams::team_demand> claims;
    for (const auto &[name, settings] : document.teams) {
        team_shard &team = find(name);
        const std::scoped_lock lock(team.mutex);
        claims.push_back({settings.share, Teams::updateClaim(team.admission, totalOf(name), sinceLast)});
    }
    const std::vector<double> granted = Teams::divideCapacity(claims, document.tier.poolCapacity);
    std::size_t index = 0;
    for (const auto &[name, settings] : document.teams) {
        team_shard &team = find(name);
        const std::scoped_lock lock(team.mutex);
        if (document.tier.poolCapacity > 0.0) {
            Teams::updateAdmissionFactor(team.admission, totalOf(name), granted[index++], sinceLast);
        } else {
            Teams::removeLimit(team.admission);
        }
    }
}

std::map<std::string, Teams::team_account> admission_control::accounts()
{
    const std::shared_lock lock(m_mutex);
    std::map<std::string, Teams::team_account> accounts;
    for (const auto &[name, team] : m_teams) {
        const std::scoped_lock teamLock(team->mutex);
        accounts[name] = team->account;
    }
    return accounts;
}
