#pragma once

#include "ExitCode.h"

#include <string>
#include <vector>

class operator_client;

/// Carries out "config get", "config patch" and "config validate".
exit_code runConfigCommand(operator_client &client, const std::vector<std::string> &arguments);
