#pragma once

#include "LibBackend/ServiceState.h"

#include <mutex>

/// The shared state of one service, with its own lock.
struct service_shard {
    std::mutex mutex;
    Backend::service_state state; ///< Guarded by mutex.
};
