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
/// The whole configuration. One numbered document; every accepted patch makes the next number.
struct configuration_document {
    std::uint64_t number = 0; ///< 0: no configuration yet.
    std::vector<std::string> recentPatchIds; ///< Ids of the latest patches, one a number, the newest last.
    tier_settings tier;
    std::map<std::string, data_centre_settings> dataCentres;
    std::map<std::string, team_settings> teams;
    std::map<std::string, service_settings> services;
    bool operator==(const configuration_document &) const = default;
};
} // namespace Configuration
