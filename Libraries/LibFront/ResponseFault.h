#pragma once

#include <string_view>

namespace Front
{
/// Why bytes that a server sent are not used as its response.
enum class response_fault {
    Syntax, ///< The parser rejects the head or the framing of the body.
    Status, ///< The status code is none of HTTP.
    FoldedLine, ///< A line of the head begins with a blank.
    TransferCoding, ///< The body is neither sent in chunks nor as it is.
    RequestId, ///< Fields name different requests.
    Content, ///< The mandatory digest is missing or stated differently, or the content is encoded.
};

/// Returns the fault's name in the log.
[[nodiscard]] std::string_view responseFaultName(response_fault fault);
} // namespace Front
