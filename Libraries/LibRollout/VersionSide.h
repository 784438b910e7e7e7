#pragma once

namespace Rollout
{
/// The version of a rollout that served a query.
enum class version_side {
    Old,
    New,
};
} // namespace Rollout
