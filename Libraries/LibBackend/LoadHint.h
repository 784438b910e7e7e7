#pragma once

#include "LibCore/Time.h"

namespace Backend
{
/// A backend server's own report of its load. It lags and may mislead, so its weight fades with age.
struct load_hint {
    double load = 0.0; ///< 0: idle, 1: all slots taken, above 1: queueing.
    Core::time_point receivedAt;
};
} // namespace Backend
