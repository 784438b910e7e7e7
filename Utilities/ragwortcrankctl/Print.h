#pragma once

#include "ExitCode.h"

#include <string>

namespace Platform
{
struct call_outcome;
}

struct session;

/// Prints the message for a wrong command line and returns exit_code::Usage.
exit_code failUsage(const std::string &message);

/// Prints a failed call or an error answer to standard error, findings one a line, and returns its exit code.
/// `changing` tells whether a request without an answer may have changed something.
exit_code printFailure(const Platform::call_outcome &outcome, bool changing);

/// Returns whether a call was answered with status 200.
[[nodiscard]] bool isAnswered(const Platform::call_outcome &outcome);
