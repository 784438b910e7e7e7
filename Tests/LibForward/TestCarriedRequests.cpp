#include "LibForward/CarriedRequests.h"

#include <gtest/gtest.h>

#include <string>

/// Load: a full replica refuses a request, is asked again on the same connection and sends the refusal twice. The copy
/// was taken for the response to the second attempt, and the request ran twice.
TEST(CarriedRequests, ConnectionCarriesARequestOnlyOnce)
{
    Forward::carried_requests carried;
    EXPECT_TRUE(Forward::mayCarry(carried, "one"));
    Forward::recordCarried(carried, "one");
    EXPECT_FALSE(Forward::mayCarry(carried, "one"));
    EXPECT_TRUE(Forward::mayCarry(carried, "two"));
}

/// Load: a replica delays a copy while the connection carries many other requests.
TEST(CarriedRequests, RemembersEveryRequestThatAConnectionHasCarried)
{
    Forward::carried_requests carried;
    int count = 0;
    for (; Forward::mayCarry(carried, std::to_string(count)); ++count) {
        Forward::recordCarried(carried, std::to_string(count));
        ASSERT_LT(count, 100'000) << "the memory for ids has no bound";
    }
    EXPECT_GE(count, 100) << "new connections are costly for replicas";
    for (int earlier = 0; earlier < count; ++earlier) {
        EXPECT_FALSE(Forward::mayCarry(carried, std::to_string(earlier)));
    }
    EXPECT_FALSE(Forward::mayCarry(carried, "one that is new"));
}

/// Calls of the store and of peers have no id; each of their connections has one request at a time and is closed after
/// a time-out.
TEST(CarriedRequests, RequestsWithoutAnIdAreNotLimited)
{
    Forward::carried_requests carried;
    for (int count = 0; count < 100'000; ++count) {
        Forward::recordCarried(carried, "");
    }
    EXPECT_TRUE(Forward::mayCarry(carried, ""));
    EXPECT_TRUE(Forward::mayCarry(carried, "one"));
}
