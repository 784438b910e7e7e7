#pragma once

namespace Rollout
{
/// What the evidence says of the new version.
enum class verdict {
    Good, ///< Nothing speaks against it so far.
    Bad,
};
} // namespace Rollout
