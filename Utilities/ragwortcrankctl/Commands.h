#pragma once

#include "ExitCode.h"

#include <string>
#include <vector>

struct session;

// The command groups, one source file each. Each takes the arguments that follow the group's name.
exit_code runConfigCommand(session &current, const std::vector<std::string> &arguments);
exit_code runChangeCommand(session &current, const std::vector<std::string> &arguments);
exit_code runTeamCommand(session &current, const std::vector<std::string> &arguments);
exit_code runDataCentreCommand(session &current, const std::vector<std::string> &arguments);
exit_code runRolloutCommand(session &current, const std::vector<std::string> &arguments);
exit_code runStatusCommand(session &current, const std::vector<std::string> &arguments);
exit_code runAccountsCommand(session &current, const std::vector<std::string> &arguments);
