#pragma once

#include "LibCore/Finding.h"

#include <vector>

namespace Configuration
{
struct configuration_document;

/// Adds a finding for each rule that spans several members of the document, such as references between them.
void validateDocument(const configuration_document &document, std::vector<Core::finding> &findings);
} // namespace Configuration
