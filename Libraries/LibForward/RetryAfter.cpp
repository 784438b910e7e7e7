#include "LibForward/RetryAfter.h"

#include <random>

namespace Forward
{
using namespace std::chrono_literals;

static constexpr Core::duration earliestReturn =
    30ms; ///< An overloaded replica has processed some queued requests by then.
static constexpr Core::duration latestReturn = 150ms; ///< Leaves callers most of their timeout.

Core::duration drawRetryAfter(Core::random_engine &random)
{
    std::uniform_int_distribution<Core::duration::rep> drawn(earliestReturn.count(), latestReturn.count());
    return Core::duration(drawn(random));
}
} // namespace Forward
