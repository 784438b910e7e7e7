#pragma once

namespace Bench
{
/// What goes wrong with the new version of a rollout.
enum class version_fault {
    None,
    Fails, ///< 3 in 10 answers are errors.
    Slow, ///< Answers take three times as long.
};
} // namespace Bench
