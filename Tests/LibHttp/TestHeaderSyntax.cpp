#include "LibHttp/HeaderSyntax.h"

#include <gtest/gtest.h>

#include <string>

TEST(HeaderSyntax, FieldNameIsAToken)
{
    EXPECT_TRUE(Http::isFieldName("X"));
    EXPECT_TRUE(Http::isFieldName("!#$%&'*+-.^_`|~09azAZ"));
    EXPECT_FALSE(Http::isFieldName(""));
    const std::string delimiters = "\"(),/:;<=>?@[\\]{} \t\r\n\x7f";
    for (int byte = 0; byte < 256; ++byte) {
        const char character = static_cast<char>(byte);
        const bool isExcluded = byte < 0x20 || byte >= 0x7f || delimiters.find(character) != std::string::npos;
        EXPECT_EQ(Http::isFieldName(std::string("X") + character + "Y"), !isExcluded) << byte;
    }
}

TEST(HeaderSyntax, LineThatBeginsWithBlankOrTabIsFolded)
{
    EXPECT_TRUE(Http::hasFoldedLine("A: 1\r\n B: 2\r\n"));
    EXPECT_TRUE(Http::hasFoldedLine("A: 1\r\n\tB: 2\r\n\r\n"));
    EXPECT_TRUE(Http::hasFoldedLine("A: 1\r\n \r\n"));
    EXPECT_FALSE(Http::hasFoldedLine("HTTP/1.1 200 OK\r\nA:  1 2\t3 \r\nB:\r\n\r\n"));
    EXPECT_FALSE(Http::hasFoldedLine(""));
}
