#include "LibPlatform/SlowStartCodec.h"
#include "LibPlatform/SlowStartMessage.h"

#include <gtest/gtest.h>

TEST(slow_start_codec, DecodesEncodedMessage)
{
    Platform::slow_start_message message;
    message.claims = {"a1"};
    message.records = {{"a1", 7, 2, "i\"1", 0}, {"b1", 0, 1, "i2", Backend::completedSlowStartLevel}};
    const auto decoded = Platform::decodeSlowStart(Platform::encodeSlowStart(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->claims, message.claims);
    EXPECT_EQ(decoded->records, message.records);
}

TEST(slow_start_codec, RejectsMalformedMessages)
{
    for (const char *text :
         {"", "[]", "{}", R"({"claims":[1],"records":[]})", R"({"claims":[],"records":[["a"]]})",
          R"({"claims":[],"records":[["a",-1,0,"i",0]]})", R"({"claims":[],"records":[["a",0,0,"i",4]]})",
          R"({"claims":[],"records":[["a",0,1e300,"i",0]]})"}) {
        EXPECT_FALSE(Platform::decodeSlowStart(text)) << text;
    }
}
