#pragma once

#include "LibTeams/TeamAccount.h"
#include "LibTeams/TeamAdmission.h"

#include <mutex>

/// The state of one team at this daemon, with its own lock.
struct team_shard {
    std::mutex mutex;
    Teams::team_admission admission; ///< Guarded by mutex.
    Teams::team_account account; ///< Guarded by mutex.
};
