#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Configuration
{
struct configuration_document;
}

namespace Membership
{
struct member_table;
struct membership_settings;
} // namespace Membership

/// Division of the limits that hold for all daemons together: retries, requests to cold replicas, and connections.
namespace Forward
{
struct replica_table;
struct retry_limits;
struct sharing_state;

/// Returns how many connections this daemon may open to a replica that accepts `accepted` of them; at least one.
[[nodiscard]] std::size_t connectionsPerReplica(const replica_table &replicaTable, double accepted);

/// Updates this daemon's part of the limits from its membership view. The active daemons share them. A daemon that is
/// not active gets no retry slack, and otherwise the part that it would have if all daemons shared.
/// `fleetLimits` hold for the entire fleet; `topology` names its data centres.
void updateSharedLimits(replica_table &replicaTable, sharing_state &state, const retry_limits &fleetLimits,
                        const Membership::member_table &members, const Membership::membership_settings &settings,
                        const Configuration::configuration_document &topology, Core::time_point now);
} // namespace Forward
