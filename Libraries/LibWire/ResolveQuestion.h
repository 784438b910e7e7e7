#pragma once

#include <cstdint>
#include <string>

namespace Wire
{
/// Asks the daemon that is named in the id of a non-idempotent request for the state of that request.
struct resolve_question {
    std::string requestId;
    std::uint64_t fingerprint = 0; ///< Hash of the request's content and its sender.
};
} // namespace Wire
