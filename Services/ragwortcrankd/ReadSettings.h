#pragma once

#include "LibCore/Finding.h"

#include <iosfwd>
#include <vector>

struct settings;

/// Returns whether --help or -h was given.
[[nodiscard]] bool wantsHelp(int argc, char **argv);

/// Prints the daemon's flags with their environment variables and defaults.
void printHelp(std::ostream &stream);

/// Reads flags, and environment variables for flags that were not given, and validates all of them. Adds a finding,
/// named after the flag, for each error.
void readSettings(int argc, char **argv, settings &target, std::vector<Core::finding> &findings);
