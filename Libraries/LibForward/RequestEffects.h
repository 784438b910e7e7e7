#pragma once

#include "LibCore/Time.h"
#include "LibForward/RequestOutcome.h"
#include "LibForward/SendAttempt.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Forward
{
/// The actions that the daemon has to take after an event of a request.
struct request_effects {
    std::vector<send_attempt> sends;
    std::vector<std::uint32_t> detached; ///< Attempts whose outcome the request no longer needs.
    std::optional<request_outcome> finished; ///< Set exactly once, when the request ends.
    std::optional<Core::time_point> wakeAt; ///< When to call `onTimer` next; replaces any earlier time.
};
} // namespace Forward
