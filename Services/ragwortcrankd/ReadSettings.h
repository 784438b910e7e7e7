#pragma once

#include "LibCore/Finding.h"

#include <iosfwd>
#include <vector>

struct settings;

/// Whether --help or -h was given.
[[nodiscard]] bool wantsHelp(int argc, char **argv);

/// Lists the daemon's flags with their environment variables and defaults.
void printHelp(std::ostream &stream);

/// Reads flags, then environment variables for flags that were not given, and checks all of them.
/// Adds a finding for each fault, named after its flag.
void readSettings(int argc, char **argv, settings &target, std::vector<Core::finding> &findings);
