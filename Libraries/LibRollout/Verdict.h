#pragma once

namespace Rollout
{
/// Result of evaluating the evidence on the new version.
enum class verdict {
    Good, ///< No significant difference from the old version so far.
    Bad,
};
} // namespace Rollout
