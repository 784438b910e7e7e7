#pragma once

#include "LibCore/Time.h"
#include "LibPlatform/HttpResponder.h"

#include <string>

namespace StandIns
{
/// One shard request that a stand-in backend server holds.
struct backend_job {
    std::string requestId;
    std::string attemptId;
    std::string snapshot;
    std::string query;
    Core::time_point deadline;
    Core::time_point endsAt;
    Platform::http_responder responder;
};
} // namespace StandIns
