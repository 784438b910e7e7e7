#pragma once

#include "LibCore/Time.h"
#include "LibRollout/ClosingPatch.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Configuration
{
struct service_settings;
}

namespace Rollout
{
struct rollout_evidence;

/// Returns whether the document records the end of the service's rollout: rolled back, or completed, in which case the
/// new version is the version of the service.
[[nodiscard]] bool isClosed(const Configuration::service_settings &service);

/// Returns the patch that records the end of a service's rollout if the rollout has ended and the document does not yet
/// record it. The patch must be applied to `documentNumber`, the number of the document that contains `service`. Of two
/// daemons that disagree on the end, only one can then write its patch; the other finds the rollout closed.
[[nodiscard]] std::optional<closing_patch> closeRollout(const std::string &name,
                                                        const Configuration::service_settings &service,
                                                        std::uint64_t documentNumber, const rollout_evidence &evidence,
                                                        Core::wall_time now);
} // namespace Rollout
