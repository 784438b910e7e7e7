#pragma once

#include "LibBackend/AttemptFailure.h"
#include "LibQuery/AttemptState.h"
#include "LibQuery/ConnectionChoice.h"

#include <boost/container/small_vector.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Query
{
/// State of one shard of a query. The shard is open until it is answered or has failed.
struct shard_state {
    bool open = true;
    bool answered = false;
    bool mayHaveRun = false; ///< An attempt has ended without proof that it did not run.
    bool waitingForRetry = false; ///< No attempt is in flight; the next one waits for a token or an available replica.
    connection_choice nextConnection = connection_choice::Any;
    Backend::attempt_failure lastFailure = Backend::attempt_failure::NotRun;
    std::uint32_t attemptsSent = 0;
    boost::container::small_vector<attempt_state, 1> running;
    boost::container::small_vector<std::size_t, 2> triedReplicas;
    boost::container::small_vector<std::string, 1> triedPeers; ///< One element for each attempt sent to a branch.
};
} // namespace Query
