#pragma once

#include "LibCore/RandomEngine.h"
#include "LibTeams/Admission.h"
#include "LibTeams/DivideCapacity.h"
#include "LibTeams/UsageCodec.h"
#include "LibTeams/UsageExchange.h"
#include "Policy/TeamDemand.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Bench
{
/// Daemons that admit queries of two teams and exchange their usage in pairs, on virtual time.
class usage_fleet
{
public:
    static constexpr double capacity = 90000.0;
    static constexpr double cost = 25.0;
    static constexpr std::chrono::milliseconds tick {25};

    usage_fleet(std::size_t daemons, std::uint64_t seed)
        : m_daemons(daemons)
        , m_random(seed)
    {
    }

    /// Runs for a time with the given demand (shard requests per second by team and daemon); returns what each team was
    /// admitted, in shard requests per second.
    std::map<std::string, double> run(Core::duration time, const team_demand &demand)
    {
        std::map<std::string, double> admitted;
        const Core::time_point end = m_now + time;
        for (; m_now < end; m_now += tick) {
            for (const auto &[team, rates] : demand) {
                for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                    admitted[team] += offer(m_daemons[index], team, rates[index]);
                }
            }
            if (m_now.time_since_epoch() % exchangeInterval == Core::duration::zero()) {
                exchangeAll();
            }
        }
        for (auto &[team, count] : admitted) {
            count /= Core::toSeconds(time);
        }
        return admitted;
    }

    std::map<std::string, double> shares {{"a", 0.6}, {"b", 0.4}};
    double lossProbability = 0.0; ///< Of one message between daemons.
    bool exchanges = true; ///< False is the baseline: each daemon alone with its part of the pool.

private:
    static constexpr std::chrono::milliseconds exchangeInterval {125};

    struct daemon {
        std::map<std::string, Teams::team_admission> teams;
        std::map<std::string, double> pending; ///< Shard requests not yet offered, below one query.
        Teams::usage_exchange usage;
    };

    double offer(daemon &at, const std::string &team, double rate)
    {
        double admitted = 0.0;
        double &pending = at.pending[team];
        // Arrivals are spread at random, as those of many callers are.
        std::poisson_distribution<int> arrivals(rate * Core::toSeconds(tick) / cost);
        for (pending = rate > 0.0 ? arrivals(m_random) : 0.0; pending > 0.0; pending -= 1.0) {
            const auto refused = Teams::admit(at.teams[team], Configuration::priority_class::Lookup, cost);
            admitted += refused ? 0.0 : cost;
        }
        return admitted;
    }

    Core::wall_time wallTime() const
    {
        return Core::wall_time(std::chrono::duration_cast<Core::wall_time::duration>(m_now.time_since_epoch()));
    }

    void hand(daemon &from, daemon &to)
    {
        const auto message = Teams::decodeUsage(Teams::encodeUsage(Teams::splitUsage(from.usage)));
        if (std::uniform_real_distribution<double>(0.0, 1.0)(m_random) >= lossProbability) {
            Teams::mergeUsage(to.usage, *message, wallTime());
        }
    }

    void exchangeAll()
    {
        for (daemon &own : m_daemons) {
            std::map<std::uint32_t, Teams::team_rates> local;
            for (const auto &[team, share] : shares) {
                Teams::updateRates(own.teams[team], m_now);
                local[Teams::teamKey(team)] = own.teams[team].rates;
            }
            Teams::updateUsage(own.usage, local, wallTime());
        }
        for (daemon &own : m_daemons) {
            if (!exchanges) {
                break;
            }
            daemon &peer = m_daemons[m_random() % m_daemons.size()];
            if (&peer != &own) {
                hand(own, peer);
                hand(peer, own);
            }
        }
        for (daemon &own : m_daemons) {
            updateFactors(own);
        }
    }

    void updateFactors(daemon &own)
    {
        const auto live = static_cast<std::uint32_t>(m_daemons.size());
        auto totals = exchanges ? Teams::totalUsage(own.usage, live, wallTime()) : own.usage.local;
        const double pool = exchanges ? capacity : capacity / live;
        std::vector<Teams::team_demand> claims;
        for (const auto &[team, share] : shares) {
            const Teams::team_rates &total = totals[Teams::teamKey(team)];
            claims.push_back({share, Teams::updateClaim(own.teams[team], total, exchangeInterval)});
        }
        const std::vector<double> granted = Teams::divideCapacity(claims, pool);
        std::size_t index = 0;
        for (const auto &[team, share] : shares) {
            Teams::updateAdmissionFactor(own.teams[team], totals[Teams::teamKey(team)], granted[index++],
                                         exchangeInterval);
        }
    }

    std::vector<daemon> m_daemons;
    Core::random_engine m_random;
    Core::time_point m_now {std::chrono::seconds(1000)};
};
} // namespace Bench
