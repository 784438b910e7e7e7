#pragma once

#include <string>
#include <string_view>

namespace Configuration
{
struct service_settings;
}

namespace Rollout
{
/// Returns the version that a query uses, given the new version's share of traffic (0 to 1). Within a rollout the
/// choice depends only on the request id and the share, so that a retry at another daemon uses the same version.
[[nodiscard]] std::string chooseVersion(const Configuration::service_settings &service, double newShare,
                                        std::string_view requestId);
} // namespace Rollout
