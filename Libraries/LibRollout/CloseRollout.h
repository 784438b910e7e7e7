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

/// Whether the document says how the service's rollout ended: taken back, or done, which makes the new version the
/// service's own.
[[nodiscard]] bool isClosed(const Configuration::service_settings &service);

/// Returns the patch that records the end of a service's rollout, if it has ended and the document does not say so yet.
/// It must be made against `documentNumber`, the number of the document that `service` is from: of two daemons that
/// disagree on the end only one can then write, and the other finds the rollout closed.
[[nodiscard]] std::optional<closing_patch> closeRollout(const std::string &name,
                                                        const Configuration::service_settings &service,
                                                        std::uint64_t documentNumber, const rollout_evidence &evidence,
                                                        Core::wall_time now);
} // namespace Rollout
