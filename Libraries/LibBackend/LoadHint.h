#pragma once

#include "LibCore/Time.h"

namespace Backend
{
/// A backend server's own report of its load. It lags behind and may be inaccurate, so its weight decays with age.
struct load_hint {
    double load = 0.0; ///< 0: idle, 1: all slots in use, above 1: requests are queued.
    Core::time_point receivedAt;
};
} // namespace Backend
