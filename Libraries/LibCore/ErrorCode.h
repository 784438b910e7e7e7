#pragma once

namespace Core
{
/// The kinds of error that callers act upon differently.
enum class error_code {
    InvalidInput, ///< The input is malformed or breaks a rule; repeating it cannot help.
    NotFound, ///< The named object does not exist.
    Conflict, ///< A conditional update found another version than the one expected.
    Unauthorized, ///< The key is missing or unknown.
    Unavailable, ///< The other side cannot be reached or answered with a temporary failure.
    TimedOut, ///< No answer arrived in time; the request may have taken effect.
    Internal, ///< An invariant of the other side or of a library was broken.
};

/// Returns the stable lower-case name of an error code, as used in logs and answers.
[[nodiscard]] const char *errorCodeName(error_code code);
} // namespace Core
