#pragma once

#include "ExitCode.h"

#include <string>
#include <vector>

struct session;

/// One group of subcommands, as in "team".
struct command_group {
    const char *name;
    const char *help; ///< Its subcommands with their arguments, one a line.
    exit_code (*run)(session &current, const std::vector<std::string> &arguments);
};
