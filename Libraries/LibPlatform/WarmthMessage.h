#pragma once

#include "LibBackend/SlowStartRecord.h"

#include <string>
#include <vector>

namespace Platform
{
/// What one daemon tells a peer of the replicas of one service.
struct warmth_message {
    std::vector<std::string> claims; ///< Cold replicas that the sender takes itself to warm.
    std::vector<Backend::slow_start_record> records;
};
} // namespace Platform
