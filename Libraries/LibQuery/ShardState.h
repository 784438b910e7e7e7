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
/// The progress of one shard of a query. It is open until it was answered or given up.
struct shard_state {
    bool open = true;
    bool answered = false;
    bool mayHaveRun = false; ///< Some attempt ended without proof that it did not run.
    bool waits = false; ///< Nothing runs; the next attempt waits for a token or for a replica that may take it.
    connection_choice nextConnection = connection_choice::Any;
    Backend::attempt_failure lastFailure = Backend::attempt_failure::NotRun;
    std::uint32_t attemptsSent = 0;
    boost::container::small_vector<attempt_state, 1> running;
    boost::container::small_vector<std::size_t, 2> triedReplicas;
    boost::container::small_vector<std::string, 1> triedPeers; ///< One for each attempt that went to a branch.
};
} // namespace Query
