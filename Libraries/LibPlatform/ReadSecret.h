#pragma once

#include <string>

namespace Platform
{
/// Reads a secret of at most 4096 characters from a file descriptor, without the line end that may close it.
[[nodiscard]] std::string readSecret(int descriptor);
} // namespace Platform
