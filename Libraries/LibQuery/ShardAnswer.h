#pragma once

#include "LibBackend/ReplicaReport.h"
#include "LibQuery/ResultItem.h"

#include <string>
#include <vector>

namespace Query
{
/// The decoded answer of a backend server for one shard.
struct shard_answer {
    std::string requestId; ///< The request id stated in the answer.
    std::string snapshot; ///< The snapshot from which the answer was computed.
    std::string shard;
    Backend::replica_report report;
    std::vector<result_item> items;
};
} // namespace Query
