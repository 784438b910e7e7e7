#pragma once

#include "LibCore/Time.h"
#include "LibForward/RequestVerdict.h"
#include "LibForward/SendAttempt.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Forward
{
/// What the daemon has to do after an event of a request.
struct request_effects {
    std::vector<send_attempt> sends;
    std::vector<std::uint32_t> detached; ///< Attempts that nobody waits for any more.
    std::optional<request_verdict> finished; ///< Set once.
    std::optional<Core::time_point> wakeAt; ///< When to call onTimer next; replaces any earlier time.
};
} // namespace Forward
