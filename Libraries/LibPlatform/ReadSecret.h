#pragma once

#include <string>

namespace Platform
{
/// Reads a secret of at most 4096 characters from a file descriptor and removes line breaks at its end.
[[nodiscard]] std::string readSecret(int descriptor);
} // namespace Platform
