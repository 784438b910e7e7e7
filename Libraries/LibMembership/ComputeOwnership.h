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

/// Computes who owns the replicas of one service in this daemon's view. Members that leave, and those of data centres
/// that are out, own nothing. The peers of a shard come near ones first, in an order that differs from daemon to
/// daemon, so that the owners share the load.
[[nodiscard]] Backend::ownership_view computeOwnership(const fleet &members,
                                                       const Configuration::configuration_document &document,
                                                       const std::string &service);
} // namespace Membership
