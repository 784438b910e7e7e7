#pragma once

#include <random>

namespace Core
{
/// The random engine that decision functions receive. Callers seed it, so that tests and benchmarks repeat exactly.
using random_engine = std::mt19937_64;
} // namespace Core
