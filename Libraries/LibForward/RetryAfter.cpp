#include "LibForward/RetryAfter.h"

#include <random>

namespace Forward
{
using namespace std::chrono_literals;

/// An overloaded replica has processed some queued requests by then.
static constexpr Core::duration minimumRetryAfter = 30ms;
static constexpr Core::duration maximumRetryAfter = 150ms; ///< Leaves callers most of their timeout.

Core::duration randomRetryAfter(Core::random_engine &random)
{
    std::uniform_int_distribution<Core::duration::rep> distribution(minimumRetryAfter.count(),
                                                                    maximumRetryAfter.count());
    return Core::duration(distribution(random));
}
} // namespace Forward
