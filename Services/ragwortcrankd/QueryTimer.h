#pragma once

#include "LibCore/Time.h"

#include <cstdint>

/// The time at which a query is to be woken.
struct query_timer {
    Core::time_point at;
    std::uint64_t query = 0;
    std::uint64_t generation = 0;
};
