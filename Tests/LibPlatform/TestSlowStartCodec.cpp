#include "LibPlatform/WarmthCodec.h"
#include "LibPlatform/WarmthMessage.h"

#include <gtest/gtest.h>

TEST(warmth_codec, WhatIsEncodedComesBack)
{
    Platform::warmth_message message;
    message.claims = {"a1"};
    message.records = {{"a1", 7, 2, "i\"1", 0}, {"b1", 0, 1, "i2", Backend::warmestLevel}};
    const auto decoded = Platform::decodeWarmth(Platform::encodeWarmth(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->claims, message.claims);
    EXPECT_EQ(decoded->records, message.records);
}

TEST(warmth_codec, MalformedMessagesAreRefusedWhole)
{
    for (const char *text :
         {"", "[]", "{}", R"({"claims":[1],"records":[]})", R"({"claims":[],"records":[["a"]]})",
          R"({"claims":[],"records":[["a",-1,0,"i",0]]})", R"({"claims":[],"records":[["a",0,0,"i",4]]})",
          R"({"claims":[],"records":[["a",0,1e300,"i",0]]})"}) {
        EXPECT_FALSE(Platform::decodeWarmth(text)) << text;
    }
}
