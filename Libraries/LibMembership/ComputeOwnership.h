#pragma once

#include "LibBackend/OwnershipView.h"

#include <string>

namespace Configuration
{
struct configuration_document;
}

namespace Membership
{
struct fleet;

/// Computes the owners of the replicas of one service from this daemon's membership view. Members that are leaving and
/// members in data centres that are out of service own nothing. The peers of a shard are ordered by ascending distance;
/// among peers at the same distance the order differs between daemons, which distributes the load over the owners.
[[nodiscard]] Backend::ownership_view computeOwnership(const fleet &members,
                                                       const Configuration::configuration_document &document,
                                                       const std::string &service);
} // namespace Membership
