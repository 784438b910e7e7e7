#pragma once

namespace Teams
{
/// The reason for which a query was refused before any of it ran.
enum class refusal_reason {
    OverShare, ///< The team has used up its granted part of the pool.
    Overloaded, ///< This daemon's concurrency limit is reached.
};

/// Returns the reason text that is sent to callers.
[[nodiscard]] const char *refusalText(refusal_reason reason);
} // namespace Teams
