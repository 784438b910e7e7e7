#pragma once

#include <string>

namespace Configuration
{
struct service_settings;
}

namespace Rollout
{
/// Returns the version that a query uses, given the new version's share of traffic (0 to 1) and a uniform draw (0 to
/// 1).
[[nodiscard]] std::string chooseVersion(const Configuration::service_settings &service, double newShare, double draw);
} // namespace Rollout
