#pragma once

#include "LibConfiguration/ParsedDocument.h"

#include <string>
#include <string_view>

namespace Configuration
{
/// Parses and validates a JSON document. Reports all findings with their JSON pointers, not only the first.
[[nodiscard]] parsed_document parseDocument(std::string_view text);

/// Serializes a document as JSON. Members have a fixed order, so equal documents give equal text.
[[nodiscard]] std::string serializeDocument(const configuration_document &document);
} // namespace Configuration
