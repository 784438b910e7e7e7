#pragma once

namespace Rollout
{
/// Which side of a rollout served a query.
enum class version_side {
    Old,
    New,
};
} // namespace Rollout
