#include "LibHttp/StatusKind.h"

#include <gtest/gtest.h>

using Http::status_kind;

TEST(StatusKind, NumbersOutsideOf100To599AreInvalid)
{
    for (unsigned status = 0; status < 100; ++status) {
        EXPECT_EQ(Http::statusKindOf(status), status_kind::Invalid) << status;
    }
    for (unsigned status = 100; status < 200; ++status) {
        EXPECT_EQ(Http::statusKindOf(status), status_kind::Interim) << status;
    }
    for (unsigned status = 200; status < 600; ++status) {
        EXPECT_EQ(Http::statusKindOf(status), status_kind::Final) << status;
    }
    for (unsigned status = 600; status < 3000; ++status) {
        EXPECT_EQ(Http::statusKindOf(status), status_kind::Invalid) << status;
    }
}
