#pragma once

#include "LibCore/Time.h"
#include "LibQuery/OnceProgress.h"

#include <cstdint>
#include <string>

namespace Query
{
/// What a daemon remembers of one non-idempotent request.
struct once_entry {
    once_progress progress = once_progress::Running;
    std::uint64_t fingerprint = 0; ///< Hash of what was asked and by whom; another request must not meet its answer.
    Core::wall_time forgetAt; ///< From then on the id is too old to be started, so nothing has to be remembered.
    int status = 0; ///< HTTP status of the answer; only once finished.
    std::string answer; ///< The answer as the caller got it; only once finished.
};
} // namespace Query
