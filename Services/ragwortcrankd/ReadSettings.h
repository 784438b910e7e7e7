#pragma once

#include "LibCore/Finding.h"

#include <vector>

struct settings;

/// Reads flags, then environment variables for flags that were not given, and checks all of them.
/// Adds a finding for each fault, named after its flag.
void readSettings(int argc, char **argv, settings &target, std::vector<Core::finding> &findings);
