#pragma once

#include "LibQuery/AtMostOnceRegistry.h"
#include "OnceAnswer.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// A part of the non-idempotent requests of this daemon, under its own lock.
struct once_shard {
    std::mutex mutex;
    Query::at_most_once_registry registry; ///< Guarded by mutex.
    /// Who waits for a running request, by request id. Guarded by mutex.
    std::map<std::string, std::vector<std::function<void(once_answer)>>> waiters;
};
