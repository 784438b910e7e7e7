#pragma once

#include "LibCore/Finding.h"

#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
struct service_settings;

/// Adds a finding for each violated rule in one service, which is located at JSON pointer `path`.
void validateService(const configuration_document &document, const service_settings &service, const std::string &path,
                     std::vector<Core::finding> &findings);
} // namespace Configuration
