#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Platform
{
/// One shard request as it goes to a backend server.
struct shard_call {
    std::string address;
    std::string shard;
    std::string route;
    std::string requestId;
    std::string attemptId; ///< Names this attempt for cancellation; other attempts of the request go on.
    std::string snapshot;
    std::string text;
    std::string traceParent;
    Core::duration timeRemaining {};
    bool idempotent = true;
};
} // namespace Platform
