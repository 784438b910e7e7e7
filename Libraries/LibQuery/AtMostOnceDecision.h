#pragma once

namespace Query
{
/// What a daemon does with a non-idempotent request that it received.
enum class at_most_once_decision {
    Start, ///< Run the request; it is now recorded as running.
    Wait, ///< The same request is already running; answer when it finishes.
    Replay, ///< The same request has finished; return the recorded answer.
    NotRun, ///< The request was refused permanently, or the registry is full.
    AskNamedDaemon, ///< The id names another daemon, which alone knows whether the request was started.
    Unknown, ///< The id is older than the window, so its record may have been removed.
    Mismatch, ///< The id was already used for a different request, possibly of another team. This one did not run.
    Malformed, ///< The id does not name a daemon, or its time lies in the future.
};
} // namespace Query
