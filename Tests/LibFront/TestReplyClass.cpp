#include "LibFront/HeaderNames.h"
#include "LibFront/ReplyClass.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

TEST(ReplyClass, ParsesRequestLimitsAsDecimalNumbers)
{
    EXPECT_EQ(Front::parseRequestLimit("33.1"), 33.1);
    EXPECT_EQ(Front::parseRequestLimit("5"), 5.0);
    EXPECT_EQ(Front::parseRequestLimit("0"), 0.0);
    EXPECT_EQ(Front::parseRequestLimit("0.25"), 0.25);
}

TEST(ReplyClass, RejectsRequestLimitsThatAreNoRate)
{
    for (const char *text : {"", " ", "-1", "nan", "inf", "1e3", "12 per s", "0x10", "1,5"}) {
        EXPECT_EQ(Front::parseRequestLimit(text), std::nullopt) << text;
    }
}

TEST(ReplyClass, ParsesRetryAfterAsSeconds)
{
    EXPECT_EQ(Front::parseRetryAfter("2"), 2s);
    EXPECT_EQ(Front::parseRetryAfter("0.25"), 250ms);
    EXPECT_EQ(Front::parseRetryAfter("0"), 0s);
    EXPECT_GE(Front::parseRetryAfter("99999999999999999999999999"), std::chrono::hours(24 * 365));
    for (const char *text : {"", "-1", "nan", "inf", "1e3", "soon", "2 s", "Sat, 05 Dec 2026 08:00:00 GMT"}) {
        EXPECT_EQ(Front::parseRetryAfter(text), std::nullopt) << text;
    }
}

/// Guards against a notice that is overlooked since the field comes twice or with another value.
TEST(ReplyClass, RecognizesThatReplicaShutsDown)
{
    Front::header_names names;
    names.shuttingDown = "Leaving";
    const auto announces = [&](std::initializer_list<const char *> values) {
        Front::reply_message reply;
        for (const char *value : values) {
            reply.insert("leaving", value);
        }
        return Front::announcesShutdown(reply, names);
    };
    EXPECT_FALSE(announces({}));
    EXPECT_FALSE(announces({"0"}));
    EXPECT_TRUE(announces({"1"}));
    EXPECT_TRUE(announces({"yes"}));
    EXPECT_TRUE(announces({"0", "1"}));
}
