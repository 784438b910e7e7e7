#include "LibWire/BranchCodec.h"

#include <capnp/message.h>

#include <gtest/gtest.h>
#include <kj/exception.h>

#include <limits>

TEST(BranchCodec, DecodesAnswerWithNanScoreAsFailure)
{
    Wire::branch_answers sent;
    sent.answers.push_back({"s0", "snapshot-1", {{"a", 1.0}, {"b", std::numeric_limits<double>::quiet_NaN()}}});
    sent.answers.push_back({"s1", "snapshot-1", {{"c", 2.0}}});
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Wire::Schema::BranchSink::AnswersParams>();
    Wire::encodeBranchAnswers(sent, root);
    const Wire::branch_answers read = Wire::decodeBranchAnswers(root.asReader());
    ASSERT_EQ(read.answers.size(), 1U);
    EXPECT_EQ(read.answers[0].shard, "s1");
    ASSERT_EQ(read.failures.size(), 1U);
    EXPECT_EQ(read.failures[0].shard, "s0");
    EXPECT_EQ(read.failures[0].failure, Backend::attempt_failure::InvalidResponse);
}

TEST(BranchCodec, PreservesCountOfShardRequests)
{
    Wire::branch_answers sent;
    sent.shardRequests = 7;
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Wire::Schema::BranchSink::AnswersParams>();
    Wire::encodeBranchAnswers(sent, root);
    EXPECT_EQ(Wire::decodeBranchAnswers(root.asReader()).shardRequests, 7U);
}

TEST(BranchCodec, RejectsMessageWithTooManyItems)
{
    Wire::branch_answers sent;
    sent.answers.push_back({"s0", "snapshot-1", std::vector<Query::result_item>(40'000)});
    sent.answers.push_back(sent.answers[0]);
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Wire::Schema::BranchSink::AnswersParams>();
    Wire::encodeBranchAnswers(sent, root);
    EXPECT_THROW(static_cast<void>(Wire::decodeBranchAnswers(root.asReader())), kj::Exception);
}
