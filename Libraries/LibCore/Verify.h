#pragma once

namespace Core
{
/// Prints the violated invariant with its file and line to standard error and aborts the process.
[[noreturn]] void verificationFailed(const char *expression, const char *file, int line);
} // namespace Core

/// Checks an invariant in all build types. A process in an inconsistent state must not serve further requests.
#define VERIFY(expression) ((expression) ? void(0) : Core::verificationFailed(#expression, __FILE__, __LINE__))
