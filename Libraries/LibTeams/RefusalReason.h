#pragma once

namespace Teams
{
/// Why a query was refused before any of it ran.
enum class refusal_reason {
    OverShare, ///< The team uses its part of the pool.
    Overloaded, ///< This daemon and the backend servers behind it are at their limit.
};

/// Returns the text that callers get as the reason.
[[nodiscard]] const char *refusalText(refusal_reason reason);
} // namespace Teams
