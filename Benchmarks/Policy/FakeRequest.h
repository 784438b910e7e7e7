#pragma once

#include "LibCore/Time.h"
#include "Policy/FakeReply.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Bench
{
/// One shard request at a fake replica.
struct fake_request {
    std::uint64_t id = 0; ///< Unique over the run.
    std::string requestId;
    std::string snapshot;
    Core::time_point deadline;
    std::function<void(const fake_reply &)> done; ///< Called at most once, when the reply leaves the replica.
};
} // namespace Bench
