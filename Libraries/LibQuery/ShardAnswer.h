#pragma once

#include "LibBackend/ReplicaReport.h"
#include "LibQuery/ResultItem.h"

#include <string>
#include <vector>

namespace Query
{
/// A backend server's answer for one shard, after decoding.
struct shard_answer {
    std::string requestId; ///< The request that the answer says it belongs to.
    std::string snapshot; ///< The snapshot that the answer was computed from.
    std::string shard;
    Backend::replica_report report;
    std::vector<result_item> items;
};
} // namespace Query
