#include "LibForward/RetryAfter.h"

#include <random>

namespace Forward
{
using namespace std::chrono_literals;

static constexpr Core::duration earliestReturn =
    30ms; ///< A full replica has taken some requests off its queue by then.
static constexpr Core::duration latestReturn = 150ms; ///< Callers still have most of their time left.

Core::duration drawRetryAfter(Core::random_engine &random)
{
    std::uniform_int_distribution<Core::duration::rep> drawn(earliestReturn.count(), latestReturn.count());
    return Core::duration(drawn(random));
}
} // namespace Forward
