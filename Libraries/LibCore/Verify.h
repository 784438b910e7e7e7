#pragma once

namespace Core
{
/// Prints the broken invariant with its place to standard error and aborts the process.
[[noreturn]] void failVerification(const char *expression, const char *file, int line);
} // namespace Core

/// Checks an invariant in every build type. A process that broke one must not answer any further request.
#define VERIFY(expression) ((expression) ? void(0) : Core::failVerification(#expression, __FILE__, __LINE__))
