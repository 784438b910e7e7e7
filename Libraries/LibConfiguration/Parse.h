#pragma once

#include "LibConfiguration/ParsedDocument.h"

#include <string>
#include <string_view>

namespace Configuration
{
/// Reads and validates a document in JSON. Every fault is reported with its JSON pointer, not only the first.
[[nodiscard]] parsed_document parseDocument(std::string_view text);

/// Writes a document as JSON with members in a fixed order, so that equal documents give equal text.
[[nodiscard]] std::string serializeDocument(const configuration_document &document);
} // namespace Configuration
