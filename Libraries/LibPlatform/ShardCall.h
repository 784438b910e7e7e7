#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Platform
{
/// One subrequest that is sent to a backend server.
struct shard_call {
    std::string address;
    std::string shard;
    std::string route;
    std::string requestId;
    std::string attemptId; ///< Identifies this attempt for cancellation; other attempts of the request continue.
    std::string snapshot;
    std::string text;
    std::string traceParent;
    Core::duration timeRemaining {};
    bool idempotent = true;
};
} // namespace Platform
