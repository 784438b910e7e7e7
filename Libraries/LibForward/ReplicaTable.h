#pragma once

#include "LibCore/Time.h"
#include "LibForward/DepartedReplica.h"
#include "LibForward/LimitSharers.h"
#include "LibForward/RetryLimits.h"
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
/// All services and replicas known to this daemon. Indices of services stay valid for the lifetime of the process.
struct replica_table {
    std::string ownDataCentre;
    std::map<std::string, std::string> regionsByDataCentre;
    std::vector<std::unique_ptr<service_state>> services;
    std::unordered_map<std::string, std::size_t> servicesByName;
    std::unordered_map<std::string, departed_replica> departedReplicas; ///< By id; a limited number of them.
    std::set<std::string> evacuatedDataCentres; ///< Replicas in them receive no new requests.
    retry_limits retryLimits;
    std::size_t daemons = 1; ///< Daemons that share connections and slow-start limits, this one included.
    std::uint64_t ownHash = 0; ///< Hash of this daemon's name.
    std::vector<std::uint64_t> otherHashes; ///< Hashes of the names of the others that share slow-start limits.
    limit_sharers limitSharers;
    Core::duration drainTime {}; ///< How long replicas keep serving after they have announced that they leave.
    double coldOvershoot = 1.0; ///< Tolerated multiple of a service's configured cold request rate.
    double coldSlack = 0.0; ///< Requests per second tolerated beyond that, over all daemons.
};
} // namespace Forward
