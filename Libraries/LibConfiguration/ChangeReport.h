#pragma once

#include "LibConfiguration/ChangeState.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;

/// The report on the change that made one number.
struct change_report {
    std::uint64_t number = 0;
    std::uint64_t currentNumber = 0;
    change_state state = change_state::NotKnown;
    std::vector<std::string> confirmed; ///< Live VMs that have this number or a higher one in force.
    std::vector<std::string> missing; ///< Live VMs that have not confirmed it.
    std::map<std::string, change_state> rollouts; ///< The rollouts that it began, by service.
    std::vector<std::string> dataCentresOut; ///< Data centres that it took out.
    std::vector<std::string> dataCentresIn; ///< Data centres that it brought back.
};

/// Reports on a number from the newest document and the numbers that the live VMs have in force. Whether a rollout is
/// done or taken back is read from the document alone: the service's version is the rollout's to_version, or
/// taken_back is set. No valid document has both.
[[nodiscard]] change_report reportChange(std::uint64_t number, const configuration_document &document,
                                         const std::map<std::string, std::uint64_t> &numbersInForce);
} // namespace Configuration
