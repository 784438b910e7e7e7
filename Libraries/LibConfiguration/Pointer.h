#pragma once

#include <string>
#include <string_view>

namespace Configuration
{
/// Returns the JSON pointer (RFC 6901) of a member of the object at `path`.
[[nodiscard]] std::string pointerTo(const std::string &path, std::string_view member);
} // namespace Configuration
