#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Forward
{
/// A replica's limit on the request rate of all daemons together, as its answers state it, and this daemon's share.
struct request_limit {
    double perSecond = 0.0; ///< Requests per second that the replica accepts.
    Core::time_point since; ///< When the replica first stated a limit.
    Core::time_point statedAt; ///< When the latest answer stated it.
    Core::duration retention {}; ///< Without an answer for this long, one request asks whether the limit still holds.
    double ownRate = 0.0; ///< Requests per second that this daemon may send.
    double tokens = 0.0; ///< Requests that this daemon may send at `refilledAt`.
    Core::time_point refilledAt;
    std::uint64_t attempts = 0; ///< Attempts that this daemon has sent since the first statement.
};
} // namespace Forward
