#pragma once

#include "LibCore/Time.h"

namespace Forward
{
/// What a replica said of its load in its latest answer that said it.
struct load_report {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    Core::time_point heardAt;
};
} // namespace Forward
