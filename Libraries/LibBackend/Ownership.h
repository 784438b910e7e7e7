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

/// How long a daemon may act on an ownership view that no exchange with peers has confirmed. A daemon that was
/// suspended or disconnected stops running slow starts after this time, before its successor begins.
constexpr std::chrono::seconds ownershipLifetime {3};

/// Applies a new ownership view. Until the first one, the daemon acts as if it were the only one in the fleet.
void applyOwnership(service_state &service, ownership_view view, Core::time_point now);

/// Records that the daemon has exchanged messages with its peers, including their claims, and that the last view is
/// still valid. The daemon calls it on each exchange with peers, at least once per ownershipLifetime.
void confirmOwnership(service_state &service, Core::time_point now);

/// Returns the cold replicas whose slow start this daemon runs according to its own view. It sends these claims to its
/// peers on each exchange.
[[nodiscard]] std::vector<std::string> claimedReplicas(const service_state &service);

/// Records that another daemon claims a replica's slow start. While two daemons claim the same replica, because their
/// membership views differ, neither may send requests to it.
void recordClaim(service_state &service, std::string_view replica, Core::time_point now);

/// Returns whether this daemon runs the replica's slow start, its view is confirmed, and the requests of any previous
/// owner that ran it have ended.
[[nodiscard]] bool mayRunSlowStart(const service_state &service, const replica_state &replica, Core::time_point now);
} // namespace Backend
