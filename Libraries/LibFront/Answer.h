#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Front
{
/// An answer to a caller, before it is written in HTTP's form.
struct answer {
    unsigned status = 500;
    std::vector<std::pair<std::string, std::string>> headers; ///< Without those that frame the message.
    std::string body;
    std::optional<std::string> lengthWithoutBody; ///< For an answer that has no body but states the length of one.
    bool bodyAllowed = true; ///< False for answers to HEAD and for statuses that never have a body.
    bool closeAfter = false; ///< The connection takes no further request.
};

/// Writes the answer in HTTP/1.1's form.
[[nodiscard]] std::string writeAnswer(const answer &answer);

/// An answer of our own that states what went wrong.
[[nodiscard]] answer errorAnswer(unsigned status, const std::string &message);
} // namespace Front
