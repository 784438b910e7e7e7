#pragma once

#include "LibBackend/OwnershipView.h"
#include "LibCore/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace Backend
{
struct replica_state;
struct service_state;

/// How long a daemon may act on a view that membership has not confirmed. A daemon that was paused or cut off stops
/// warming replicas after this time, before its successor starts.
constexpr std::chrono::seconds ownershipLifetime {3};

/// Takes a new ownership view. Until the first one, the daemon acts as if it were the only one.
void applyOwnership(service_state &service, ownership_view view, Core::time_point now);

/// Records that the daemon has heard from its peers, their claims included, and that the last view still holds. The
/// daemon calls it on each exchange with peers, at least once in ownershipLifetime.
void confirmOwnership(service_state &service, Core::time_point now);

/// The cold replicas that this daemon takes itself to warm. It tells its peers on each exchange.
[[nodiscard]] std::vector<std::string> claimedReplicas(const service_state &service);

/// Takes another daemon's claim to warm a replica. While two daemons claim one replica, because their member lists
/// differ, neither may send to it.
void observeClaim(service_state &service, std::string_view replica, Core::time_point now);

/// Whether this daemon is the one that warms the replica, its view is confirmed, and the requests of any earlier
/// warmer have ended.
[[nodiscard]] bool mayWarm(const service_state &service, const replica_state &replica, Core::time_point now);
} // namespace Backend
