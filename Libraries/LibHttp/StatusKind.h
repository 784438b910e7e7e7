#pragma once

namespace Http
{
/// The kind of response that a status code announces.
enum class status_kind {
    Interim, ///< 100 to 199: a final response follows.
    Final, ///< 200 to 599.
    Invalid, ///< No status code of HTTP. The response says nothing, neither that the request ran nor that it did not.
};

/// Returns the kind of a status code as of RFC 9110, section 15.
[[nodiscard]] status_kind statusKindOf(unsigned status);
} // namespace Http
