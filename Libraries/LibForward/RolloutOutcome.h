#pragma once

namespace Forward
{
/// The state of a rollout. The last two are final.
enum class rollout_outcome {
    Running,
    Completed, ///< All traffic uses the target version.
    RolledBack, ///< The target version is failing and receives no traffic.
};
} // namespace Forward
