#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Exchange
{
/// What a daemon remembers between two decisions.
struct feed_role {
    Core::time_point directUntil; ///< Other daemons are not relied upon until then.
    Core::time_point followUntil; ///< The store is not asked until then.
    std::uint64_t awaited = 0; ///< The revision that is missing, of those announced the one that is waited for.
    Core::time_point awaitedSince;
    Core::time_point refreshedAt;
};
} // namespace Exchange
