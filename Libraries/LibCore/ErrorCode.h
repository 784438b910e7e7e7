#pragma once

namespace Core
{
/// Error categories that callers handle differently.
enum class error_code {
    InvalidInput, ///< The input is malformed or violates a rule; a retry cannot succeed.
    NotFound, ///< The named object does not exist.
    Conflict, ///< A conditional update found a version other than the expected one.
    Unauthorized, ///< The key is missing or unknown.
    Unavailable, ///< The remote side is unreachable or reported a temporary failure.
    TimedOut, ///< No response arrived in time; the request may have taken effect.
    Internal, ///< An invariant of the remote side or of a library was violated.
};

/// Returns the stable lower-case name of an error code, as used in logs and responses.
[[nodiscard]] const char *errorCodeName(error_code code);
} // namespace Core
