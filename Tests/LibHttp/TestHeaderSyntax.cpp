#include "LibHttp/HeaderSyntax.h"

#include <gtest/gtest.h>

TEST(HeaderSyntax, LineThatBeginsWithBlankOrTabIsFolded)
{
    EXPECT_TRUE(Http::hasFoldedLine("A: 1\r\n B: 2\r\n"));
    EXPECT_TRUE(Http::hasFoldedLine("A: 1\r\n\tB: 2\r\n\r\n"));
    EXPECT_TRUE(Http::hasFoldedLine("A: 1\r\n \r\n"));
    EXPECT_FALSE(Http::hasFoldedLine("HTTP/1.1 200 OK\r\nA:  1 2\t3 \r\nB:\r\n\r\n"));
    EXPECT_FALSE(Http::hasFoldedLine(""));
}
