#include "Fixtures.h"

#include "LibForward/Route.h"
#include "LibForward/StopAdmission.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace
{
constexpr Core::time_point exitAt {1000s};

/// The route has a target latency of 400 ms and a timeout of 4000 ms.
std::optional<Core::duration> timeoutFor(Forward::retry_policy retryPolicy, Core::duration callerTimeout,
                                         Core::duration left)
{
    const auto configuration = Fixtures::singleServiceConfiguration(retryPolicy);
    return Forward::timeoutBeforeStop(configuration->routes.front(), callerTimeout, exitAt, exitAt - left);
}
} // namespace

/// Guards against requests that are passed on late in a planned stop, may run, and are cut off without an answer.
TEST(StopAdmission, RequestThatMayRunOnceNeedsItsWholeTimeout)
{
    using enum Forward::retry_policy;
    EXPECT_EQ(timeoutFor(AtMostOnce, 3s, 3s), 3s);
    EXPECT_EQ(timeoutFor(AtMostOnce, 3s, 2999ms), std::nullopt);
    EXPECT_EQ(timeoutFor(AtMostOnce, 1h, 3999ms), std::nullopt) << "the route's timeout applies";
    EXPECT_EQ(timeoutFor(AtMostOnce, 50ms, 60ms), 50ms);
}

/// Guards against callers that are sent away although they would be answered in time, and against waits beyond the
/// stop.
TEST(StopAdmission, RequestThatMayBeRepeatedNeedsTheTimeOfAUsualAnswer)
{
    using enum Forward::retry_policy;
    EXPECT_EQ(timeoutFor(Idempotent, 3s, 1s), 1s);
    EXPECT_EQ(timeoutFor(Idempotent, 3s, 799ms), std::nullopt);
    EXPECT_EQ(timeoutFor(Idempotent, 100ms, 200ms), 100ms);
    EXPECT_EQ(timeoutFor(Idempotent, 0ms, -1ms), std::nullopt);
}
