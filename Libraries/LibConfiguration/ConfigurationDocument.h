#pragma once

#include "LibConfiguration/DataCentreSettings.h"
#include "LibConfiguration/ServiceSettings.h"
#include "LibConfiguration/TeamSettings.h"
#include "LibConfiguration/TierSettings.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Configuration
{
/// The complete configuration as one numbered document. Every accepted patch increments the number.
struct configuration_document {
    std::uint64_t number = 0; ///< 0 if there is no configuration yet.
    std::vector<std::string> recentPatchIds; ///< Ids of the latest patches, one for each number, newest last.
    tier_settings tier;
    std::map<std::string, data_centre_settings> dataCentres;
    std::map<std::string, team_settings> teams;
    std::map<std::string, service_settings> services;
    bool operator==(const configuration_document &) const = default;
};
} // namespace Configuration
