#pragma once

#include "LibCore/Finding.h"

#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
struct service_settings;

/// Adds a finding for each fault of one service, which lies at `path` in the document.
void validateService(const configuration_document &document, const service_settings &service, const std::string &path,
                     std::vector<Core::finding> &findings);
} // namespace Configuration
