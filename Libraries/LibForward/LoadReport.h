#pragma once

#include "LibCore/Time.h"

namespace Forward
{
/// The load that a replica last reported with a response.
struct load_report {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    Core::time_point reportedAt;
};
} // namespace Forward
