#include "LibFront/RetryAfter.h"

#include <cstdio>
#include <random>

namespace Front
{
static constexpr double earliestSeconds = 0.03; ///< A full replica has taken some requests off its queue by then.
static constexpr double latestSeconds = 0.15; ///< Callers still have most of their time left.

std::string retryAfterText(Core::random_engine &random)
{
    const double seconds = std::uniform_real_distribution<double>(earliestSeconds, latestSeconds)(random);
    char text[16];
    std::snprintf(text, sizeof(text), "%.3f", seconds);
    return text;
}
} // namespace Front
