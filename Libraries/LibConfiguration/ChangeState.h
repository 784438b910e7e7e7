#pragma once

namespace Configuration
{
/// How far a change has come.
enum class change_state {
    NotKnown, ///< No configuration with this number is known here.
    Accepted, ///< Written to the store; some live VM has not confirmed it yet.
    InForce, ///< Every live VM has confirmed this number or a higher one.
    Done, ///< In force, and each rollout that it began has finished.
    TakenBack, ///< A rollout that it began was taken back. Never reported beside Done.
};

/// Returns the stable lower-case name of a state, as used in answers.
[[nodiscard]] const char *changeStateName(change_state state);
} // namespace Configuration
