#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/Finding.h"

#include <vector>

namespace Configuration
{
/// The result of parsing a document. The document may be used only if there are no findings.
struct parsed_document {
    configuration_document document;
    std::vector<Core::finding> findings;
};
} // namespace Configuration
