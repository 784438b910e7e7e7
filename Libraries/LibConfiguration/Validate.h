#pragma once

#include "LibCore/Finding.h"

#include <vector>

namespace Configuration
{
struct configuration_document;

/// Adds a finding for each violated rule on names, formats and references between members of the document.
void validateDocument(const configuration_document &document, std::vector<Core::finding> &findings);

/// Adds a finding for each violated rule on the transition from `current` to `next`: rollout numbers never decrease,
/// and a rollout that was taken back cannot be resumed.
void validateSuccessor(const configuration_document &current, const configuration_document &next,
                       std::vector<Core::finding> &findings);
} // namespace Configuration
