#pragma once

#include "LibCore/Time.h"
#include "LibForward/RepeatLimits.h"
#include "LibForward/ServiceState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Forward
{
/// All services and replicas that this daemon knows. Indices of services stay valid for the process's life.
struct replica_book {
    std::string ownDataCentre;
    std::map<std::string, std::string> regionsByDataCentre;
    std::vector<std::unique_ptr<service_state>> services;
    std::unordered_map<std::string, std::size_t> servicesByName;
    std::set<std::string> evacuatedDataCentres; ///< Their replicas get no new requests.
    repeat_limits repeatLimits;
    std::size_t daemons = 1; ///< Live daemons, which share connections, slack and cold allowances.
    std::uint64_t ownHash = 0; ///< Of this daemon's name.
    std::vector<std::uint64_t> otherHashes; ///< Of the other live daemons' names.
    double coldOvershoot = 1.0; ///< Factor on a service's stated cold rate that a replica still bears.
    double coldSlack = 0.0; ///< Requests a second beyond that, over all daemons.
};
} // namespace Forward
