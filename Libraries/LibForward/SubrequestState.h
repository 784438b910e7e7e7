#pragma once

#include "LibForward/AttemptState.h"
#include "LibForward/PartialResult.h"

#include <boost/container/small_vector.hpp>

#include <optional>

namespace Forward
{
/// The state of the request to one shard, or of a request to a single replica. It is open until it is answered or has
/// failed.
struct subrequest_state {
    bool open = true;
    std::optional<partial_result> answer;
    bool isLimited = false; ///< No replica was chosen, because of limits that replicas state.
    unsigned sends = 0; ///< Attempts that may have reached a replica.
    unsigned refusals = 0; ///< Of these, attempts that the replica did not execute.
    unsigned unsentAttempts = 0; ///< Attempts that found no connection.
    boost::container::small_vector<std::size_t, 2> tried;
    boost::container::small_vector<attempt_state, 2> running;
    std::optional<Core::time_point> hedgeAt;
    std::optional<Core::time_point> retryAt; ///< All replicas have refused; they are asked again then.
};
} // namespace Forward
