#pragma once

#include "LibCore/Time.h"
#include "LibQuery/AtMostOnceProgress.h"

#include <cstdint>
#include <string>

namespace Query
{
/// A daemon's record of one non-idempotent request.
struct at_most_once_entry {
    at_most_once_progress progress = at_most_once_progress::Running;
    /// Hash of the request and its team. A different request with the same id must not receive the answer.
    std::uint64_t fingerprint = 0;
    Core::wall_time expiresAt; ///< From this time on the id is too old to be started, so the entry is no longer needed.
    int status = 0; ///< HTTP status of the answer; set when the request has finished.
    std::string answer; ///< Body of the answer as sent to the caller; set when the request has finished.
};
} // namespace Query
