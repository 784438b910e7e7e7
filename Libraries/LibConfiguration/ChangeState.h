#pragma once

namespace Configuration
{
/// The progress of a configuration change.
enum class change_state {
    NotKnown, ///< This VM has no configuration with this number.
    Accepted, ///< Written to the store; at least one live VM has not confirmed it.
    InForce, ///< Every live VM has confirmed this number or a higher one.
    Done, ///< In force, and every rollout that the change began has finished.
    TakenBack, ///< A rollout that the change began was taken back. Excludes Done.
};

/// Returns the stable lower-case name of a state, as used in responses.
[[nodiscard]] const char *changeStateName(change_state state);
} // namespace Configuration
