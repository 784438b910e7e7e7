#pragma once

#include "LibQuery/RequestIdentity.h"

#include <optional>
#include <string>
#include <string_view>

namespace Query
{
/// Reads a request id that names its daemon. Returns nothing if the text has another form.
[[nodiscard]] std::optional<request_identity> parseRequestIdentity(std::string_view text);

/// Writes a request id; parseRequestIdentity() reads it back.
[[nodiscard]] std::string formatRequestIdentity(const request_identity &identity);

/// Writes the part of a request id that names the daemon, as /v1/entries gives it to callers.
[[nodiscard]] std::string formatIncarnation(const std::string &virtualMachine, std::uint64_t incarnation);
} // namespace Query
