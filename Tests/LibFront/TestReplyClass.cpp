#include "LibFront/ReplyClass.h"

#include <gtest/gtest.h>

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
