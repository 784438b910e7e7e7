#pragma once

#include "LibBackend/SlowStartRecord.h"

#include <string>
#include <vector>

namespace Platform
{
/// The slow-start progress of one service's replicas, as one daemon sends it to a peer.
struct slow_start_message {
    std::vector<std::string> claims; ///< Cold replicas whose slow start the sender claims to run.
    std::vector<Backend::slow_start_record> records;
};
} // namespace Platform
