#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Forward
{
/// A replica's limit on the request rate of all daemons together, as its answers state it.
struct request_limit {
    double perSecond = 0.0; ///< Requests per second that the replica accepts.
    Core::time_point since; ///< When the replica first stated a limit.
    Core::time_point statedAt; ///< When the latest answer stated it.
    std::uint64_t attempts = 0; ///< Attempts that this daemon has sent since then, hedges included.
    std::uint64_t hedges = 0; ///< Hedges among them.
};
} // namespace Forward
