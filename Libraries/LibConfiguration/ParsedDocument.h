#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/Finding.h"

#include <vector>

namespace Configuration
{
/// The outcome of reading a document: it may be used only if there are no findings.
struct parsed_document {
    configuration_document document;
    std::vector<Core::finding> findings;
};
} // namespace Configuration
