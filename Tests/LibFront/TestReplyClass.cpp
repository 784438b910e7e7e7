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

namespace
{
using Front::reply_class;
using Front::request_kind;

Front::header_names sampleNames()
{
    Front::header_names names;
    names.digest = "Digest";
    names.notExecuted = "Refused";
    return names;
}

Front::reply_message replyWith(unsigned status, std::initializer_list<const char *> fields)
{
    Front::reply_message reply;
    reply.result(status);
    for (const char *field : fields) {
        reply.insert(field, "1");
    }
    return reply;
}
} // namespace

/// Guards against a replica's status that a caller takes as a promise that the request was not executed, although only
/// the replica's own statement proves that.
TEST(ReplyClass, StatusAloneDoesNotProveThatARequestWasNotExecuted)
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        const Front::reply_message reply = replyWith(status, {"Digest"});
        EXPECT_EQ(Front::classifyReply(reply, sampleNames(), request_kind::AtMostOnce), reply_class::Failure) << status;
        EXPECT_FALSE(Front::mayForward(reply, request_kind::AtMostOnce)) << status;
        EXPECT_TRUE(Front::mayForward(reply, request_kind::Idempotent)) << status;
        const Front::reply_message stated = replyWith(status, {"Refused"});
        EXPECT_NE(Front::classifyReply(stated, sampleNames(), request_kind::AtMostOnce), reply_class::Failure)
            << status;
    }
    for (const unsigned status : {200U, 404U, 409U, 500U, 502U, 504U}) {
        EXPECT_TRUE(Front::mayForward(replyWith(status, {"Digest"}), request_kind::AtMostOnce)) << status;
    }
}

TEST(ReplyClass, FailureIsNoPartOfAMergedResponse)
{
    for (const unsigned status : {404U, 408U, 429U, 500U, 503U}) {
        EXPECT_EQ(Front::classifyReply(replyWith(status, {"Digest"}), sampleNames(), request_kind::Part),
                  reply_class::Failure)
            << status;
    }
}

/// A replica that has the address of another one refuses with 421; one that has worked on the request proves it by its
/// digest.
TEST(ReplyClass, MisdirectedRequestWithADigestWasExecuted)
{
    for (const request_kind kind : {request_kind::Idempotent, request_kind::AtMostOnce, request_kind::Part}) {
        EXPECT_EQ(Front::classifyReply(replyWith(421, {}), sampleNames(), kind), reply_class::OtherInstance);
        EXPECT_NE(Front::classifyReply(replyWith(421, {"Digest"}), sampleNames(), kind), reply_class::OtherInstance);
    }
}
