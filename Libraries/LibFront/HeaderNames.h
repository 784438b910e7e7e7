#pragma once

#include <string>

namespace Front
{
/// The header fields by which callers, daemons and replicas tell each other more than HTTP does.
struct header_names {
    std::string requestId; ///< The caller's id of one attempt; replicas echo it.
    std::string timeLeft; ///< Milliseconds that the sender still waits.
    std::string digest; ///< A replica's proof that it answered this request.
    std::string targetInstance; ///< Any other replica than the one named refuses the request.
    std::string instance; ///< The id of the replica that answers.
    std::string load; ///< Running, waiting, slots; separated by commas.
    std::string notExecuted; ///< Present if the replica did not run the request.
    std::string coldFor; ///< Milliseconds for which the replica stays cold.
    std::string partDigests; ///< Digests of the parts of a gathered answer, separated by commas.
    std::string missingParts; ///< Number of shards that a gathered answer lacks.
};
} // namespace Front
