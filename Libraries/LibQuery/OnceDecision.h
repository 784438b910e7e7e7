#pragma once

namespace Query
{
/// What a daemon has to do with a non-idempotent request that has arrived.
enum class once_decision {
    Start, ///< Run it now; it is recorded as running.
    Wait, ///< The same request runs already; answer when it ends.
    Replay, ///< The same request has ended; give the same answer again.
    NotRun, ///< It was refused for good, or there is no room to remember it.
    AskNamedDaemon, ///< Another daemon may have started it; only that one can tell.
    Unknown, ///< Too old: what became of it may have been forgotten.
    Mismatch, ///< The id was used for another request, perhaps by another team; this one did not run.
    Malformed, ///< The id does not name a daemon, or its time lies in the future.
};
} // namespace Query
