#pragma once

#include "LibCore/Finding.h"

#include <vector>

namespace Configuration
{
struct configuration_document;

/// Adds a finding for each rule on names, formats and references between members of the document.
void validateDocument(const configuration_document &document, std::vector<Core::finding> &findings);

/// Adds a finding for each rule on what may follow `current`: rollout numbers only grow, and a rollout that was taken
/// back stays so.
void validateSuccessor(const configuration_document &current, const configuration_document &next,
                       std::vector<Core::finding> &findings);
} // namespace Configuration
