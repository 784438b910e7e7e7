#pragma once

#include "LibBackend/WarmthRecord.h"

#include <string>
#include <vector>

namespace Platform
{
/// The slow-start progress of one service's replicas, as one daemon sends it to a peer.
struct slow_start_message {
    std::vector<std::string>
        claims; ///< Cold replicas for which the sender considers itself the owner that runs the slow start.
    std::vector<Backend::warmth_record> records;
};
} // namespace Platform
