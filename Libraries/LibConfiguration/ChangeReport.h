#pragma once

#include "LibConfiguration/ChangeState.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;

/// Reports on the change that produced one configuration number.
struct change_report {
    std::uint64_t number = 0;
    std::uint64_t currentNumber = 0;
    change_state state = change_state::NotKnown;
    std::vector<std::string> confirmed; ///< Live VMs with this number or a higher one in force.
    std::vector<std::string> missing; ///< Live VMs that have not confirmed this number.
    std::map<std::string, change_state> rollouts; ///< Rollouts that the change began, by service.
    std::vector<std::string> dataCentresOut; ///< Data centres that the change took out of service.
    std::vector<std::string> dataCentresIn; ///< Data centres that the change returned to service.
};

/// Builds the report on a number from the newest document and the number in force on each live VM. The document alone
/// decides whether a rollout is done or taken back: the service's version equals the rollout's to_version, or
/// taken_back is set. Both never hold in a valid document.
[[nodiscard]] change_report reportChange(std::uint64_t number, const configuration_document &document,
                                         const std::map<std::string, std::uint64_t> &numbersInForce);
} // namespace Configuration
