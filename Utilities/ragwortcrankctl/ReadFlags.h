#pragma once

#include "LibCore/Finding.h"

#include <string>
#include <vector>

/// Sets the flags among the arguments, written as --name=value or --name value, and returns the other arguments. Every
/// fault is collected, where the flags library would end the process at the first.
[[nodiscard]] std::vector<std::string> readFlags(const std::vector<std::string> &arguments,
                                                 std::vector<Core::finding> &findings);
