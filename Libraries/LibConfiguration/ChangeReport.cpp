#include "LibConfiguration/ChangeReport.h"

#include "LibConfiguration/ConfigurationDocument.h"

#include <algorithm>

namespace Configuration
{
const char *changeStateName(change_state state)
{
    switch (state) {
    case change_state::NotKnown:
        return "not_known";
    case change_state::Accepted:
        return "accepted";
    case change_state::InForce:
        return "in_force";
    case change_state::Done:
        return "done";
    case change_state::TakenBack:
        return "taken_back";
    }
    return "not_known";
}

/// Returns the state of one rollout. `version` is the service's version, or empty for a removed rollout: only a rollout
/// that has ended can be removed.
static change_state rolloutState(const rollout_settings &rollout, const std::string &version, change_state changeState)
{
    if (rollout.takenBack) {
        return change_state::TakenBack;
    }
    const bool finished = version.empty() || version == rollout.toVersion;
    return finished && changeState == change_state::InForce ? change_state::Done : changeState;
}

static void collectAffectedObjects(change_report &report, const configuration_document &document)
{
    for (const auto &[name, service] : document.services) {
        if (service.rollout && service.rollout->change == report.number) {
            report.rollouts[name] = rolloutState(*service.rollout, service.version, report.state);
        }
        if (service.lastRollout && service.lastRollout->change == report.number) {
            report.rollouts[name] = rolloutState(*service.lastRollout, "", report.state);
        }
    }
    for (const auto &[name, dataCentre] : document.dataCentres) {
        if (dataCentre.change == report.number) {
            (dataCentre.out ? report.dataCentresOut : report.dataCentresIn).push_back(name);
        }
    }
}

static change_state aggregateState(const change_report &report)
{
    const auto hasState = [](change_state state) {
        return [state](const auto &entry) {
            return entry.second == state;
        };
    };
    if (std::any_of(report.rollouts.begin(), report.rollouts.end(), hasState(change_state::TakenBack))) {
        return change_state::TakenBack;
    }
    const bool allDone = std::all_of(report.rollouts.begin(), report.rollouts.end(), hasState(change_state::Done));
    return !report.rollouts.empty() && allDone ? change_state::Done : report.state;
}

change_report reportChange(std::uint64_t number, const configuration_document &document,
                           const std::map<std::string, std::uint64_t> &numbersInForce)
{
    change_report report;
    report.number = number;
    report.currentNumber = document.number;
    if (number == 0 || number > document.number) {
        return report;
    }
    for (const auto &[virtualMachine, inForce] : numbersInForce) {
        (inForce >= number ? report.confirmed : report.missing).push_back(virtualMachine);
    }
    const bool confirmedByAll = report.missing.empty() && !report.confirmed.empty();
    report.state = confirmedByAll ? change_state::InForce : change_state::Accepted;
    collectAffectedObjects(report, document);
    report.state = aggregateState(report);
    return report;
}
} // namespace Configuration
