#pragma once

namespace Forward
{
/// How far a rollout is. The last two are final.
enum class rollout_outcome {
    Running,
    Completed, ///< All traffic uses the target version.
    RolledBack, ///< The target version is bad and gets nothing.
};
} // namespace Forward
