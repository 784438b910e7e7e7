#pragma once

#include "LibBackend/OwnershipView.h"
#include "LibCore/Time.h"

namespace Backend
{
struct replica_state;
struct service_state;

/// How long a daemon may act on a view that membership has not confirmed. A daemon that was paused or cut off stops
/// warming replicas after this time, before its successor starts.
constexpr std::chrono::seconds ownershipLifetime {3};

/// Takes a new ownership view. Until the first one, the daemon acts as if it were the only one.
void applyOwnership(service_state &service, ownership_view view, Core::time_point now);

/// Records that membership has heard from its peers and that the last view still holds. The daemon calls it on each
/// exchange with peers, at least once in ownershipLifetime.
void confirmOwnership(service_state &service, Core::time_point now);

/// Whether this daemon is the one that warms the replica, its view is confirmed, and the requests of any earlier
/// warmer have ended.
[[nodiscard]] bool mayWarm(const service_state &service, const replica_state &replica, Core::time_point now);
} // namespace Backend
