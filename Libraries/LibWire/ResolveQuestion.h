#pragma once

#include <cstdint>
#include <string>

namespace Wire
{
/// A question about a non-idempotent request, to the daemon that its id names.
struct resolve_question {
    std::string requestId;
    std::uint64_t fingerprint = 0; ///< Hash of what was asked and by whom.
};
} // namespace Wire
