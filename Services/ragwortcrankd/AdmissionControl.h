#pragma once

#include "AdmittedQuery.h"
#include "LibTeams/OverloadState.h"
#include "LibTeams/Refusal.h"
#include "LibTeams/TeamAccount.h"
#include "LibTeams/TeamRates.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>

namespace Configuration
{
struct configuration_document;
}

namespace Query
{
struct query_result;
}

struct team_shard;

/// Admits queries by team share and load, and counts the usage of each team. Thread-safe.
class admission_control
{
public:
    admission_control();
    ~admission_control();

    /// Returns nothing if the query may run, in which case end() must be called when it ends; otherwise the refusal.
    std::optional<Teams::refusal> admit(const admitted_query &query);
    void end(const admitted_query &query, const Query::query_result &result, Core::time_point now);

    /// Updates this daemon's rates and returns them by Teams::teamKey().
    std::map<std::uint32_t, Teams::team_rates> updateRates(const Configuration::configuration_document &document,
                                                           Core::time_point now);
    /// Sets the fraction of its offered load that each team may run, computed from the total rates of all daemons.
    void updateFactors(const Configuration::configuration_document &document,
                       const std::map<std::uint32_t, Teams::team_rates> &totals, Core::duration sinceLast);
    /// Returns the usage counted by team since this daemon started.
    std::map<std::string, Teams::team_account> accounts();

private:
    team_shard &find(const std::string &team);

    std::shared_mutex m_mutex; ///< Guards the map; each shard has its own mutex.
    std::map<std::string, std::unique_ptr<team_shard>> m_teams;
    std::mutex m_loadMutex;
    Teams::overload_state m_load; ///< Guarded by m_loadMutex.
};
