#pragma once

#include "AtMostOnceAnswer.h"
#include "LibQuery/AtMostOnceRegistry.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// A shard of this daemon's registry of non-idempotent requests, with its own lock.
struct at_most_once_shard {
    std::mutex mutex;
    Query::at_most_once_registry registry; ///< Guarded by mutex.
    /// Callbacks waiting for a running request, by request id. Guarded by mutex.
    std::map<std::string, std::vector<std::function<void(at_most_once_answer)>>> waiters;
};
