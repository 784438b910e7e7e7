#pragma once

#include <string_view>

namespace Http
{
/// Returns whether the text can be the name of a header field: one or more characters of a token (RFC 9110,
/// section 5.6.2), which excludes blanks, control bytes and delimiters.
[[nodiscard]] bool isFieldName(std::string_view text);

/// Returns whether a line of a response's head begins with a blank or a tab. Some readers join such a line to the field
/// before it, others take it for a field (obs-fold; RFC 9112, section 5.2).
/// @param text whole lines with their ends; the first one begins a field or is the status line
[[nodiscard]] bool hasFoldedLine(std::string_view text);
} // namespace Http
