#pragma once

#include "LibConfiguration/ServiceSettings.h"
#include "LibCore/RandomEngine.h"
#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RolloutEvidence.h"
#include "Policy/RolloutCase.h"
#include "Policy/RolloutRecord.h"

#include <string>
#include <vector>

namespace Bench
{
/// Daemons in three data centres that carry out one rollout on virtual time and exchange evidence in pairs.
class rollout_fleet
{
public:
    explicit rollout_fleet(const rollout_case &settings);

    [[nodiscard]] rollout_record run();

private:
    struct daemon {
        Rollout::own_evidence own;
        Rollout::rollout_evidence held;
        double share = 0.0;
    };
    struct period {
        Core::wall_time from;
        Core::wall_time until;
        [[nodiscard]] bool contains(Core::wall_time time) const
        {
            return time >= from && time < until;
        }
    };

    [[nodiscard]] period drawPeriod();
    [[nodiscard]] double rate() const;
    [[nodiscard]] bool faultIsActive(const std::string &route) const;
    [[nodiscard]] Core::duration drawLatency(std::size_t dataCentre);
    void serveQuery();
    void countFault();
    void exchange();
    void updateShares();
    [[nodiscard]] bool allKnowBad() const;
    [[nodiscard]] double draw();

    rollout_case m_case;
    Core::random_engine m_random;
    Configuration::service_settings m_service;
    std::vector<daemon> m_daemons;
    Core::wall_time m_now;
    period m_slowDown;
    period m_badDataCentre;
    std::uint64_t m_nextQuery = 0;
    std::uint64_t m_faulty = 0;
    Core::wall_time m_shownAt = Core::wall_time::max();
    rollout_record m_record;
};
} // namespace Bench
