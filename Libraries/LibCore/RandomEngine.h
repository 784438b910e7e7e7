#pragma once

#include <random>

namespace Core
{
/// The random engine passed to decision functions. The calling code seeds it, which makes tests and benchmarks
/// reproducible.
using random_engine = std::mt19937_64;
} // namespace Core
