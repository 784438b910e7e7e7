#pragma once

#include "LibQuery/RequestIdentity.h"

#include <optional>
#include <string>
#include <string_view>

namespace Query
{
/// Parses a request id that names its daemon. Returns nothing if the text does not have that form.
[[nodiscard]] std::optional<request_identity> parseRequestIdentity(std::string_view text);

/// Formats a request id; the inverse of `parseRequestIdentity()`.
[[nodiscard]] std::string formatRequestIdentity(const request_identity &identity);

/// Formats the part of a request id that names the daemon, as returned to callers by /v1/entries.
[[nodiscard]] std::string formatIncarnation(const std::string &virtualMachine, std::uint64_t incarnation);
} // namespace Query
