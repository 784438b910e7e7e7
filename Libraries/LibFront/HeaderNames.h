#pragma once

#include <string>

namespace Front
{
/// Names of the header fields with which callers, daemons and replicas extend HTTP.
struct header_names {
    std::string requestId; ///< Request id set by the caller; replicas echo it.
    std::string remainingTime; ///< Milliseconds until the sender stops waiting.
    std::string digest; ///< Digest by which a replica proves that it answered this request.
    std::string targetInstance; ///< Id of the intended replica; any other replica rejects the request.
    std::string load; ///< Running requests, waiting requests and slots, separated by commas.
    std::string requestLimit; ///< Requests per second that the replica accepts from all daemons together.
    std::string shuttingDown; ///< Present in every answer of a replica that shuts down.
    std::string notExecuted; ///< Present if the replica did not execute the request.
    std::string shardDigests; ///< Digests of the per-shard results, separated by commas.
    std::string missingShards; ///< Number of shards whose results are missing.
};
} // namespace Front
