#include "LibBackend/AttemptFailure.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"

#include <gtest/gtest.h>

namespace
{
struct query_events : testing::Test {
    Core::time_point now {};
    Core::random_engine random {1};
    Backend::service_state service;
    Query::query_state query;

    void SetUp() override
    {
        Configuration::configuration_document document;
        document.dataCentres["dc1"].region = "r1";
        Configuration::service_settings settings;
        settings.replicas["a1"] = {"a", "127.0.0.1:1", "dc1", "v1", false};
        settings.replicas["a2"] = {"a", "127.0.0.1:2", "dc1", "v1", false};
        settings.replicas["b1"] = {"b", "127.0.0.1:3", "dc1", "v1", false};
        Backend::applyConfiguration(service, document, settings, now);
        query.plan.requestId = "id";
        query.plan.snapshot = "s1";
        query.plan.shards = {{"a", 3.0}, {"b", 1.0}};
        query.plan.deadline = now + std::chrono::seconds(1);
    }

    Query::shard_answer answerFor(const std::string &shard) const
    {
        Query::shard_answer answer;
        answer.requestId = "id";
        answer.snapshot = "s1";
        answer.shard = shard;
        return answer;
    }
};
} // namespace

TEST_F(query_events, ReportsWeightOfAnsweredShardsAsCoverage)
{
    const auto started = Query::startQuery(query, service, now, random);
    ASSERT_EQ(started.sends.size(), 2U);
    static_cast<void>(Query::onAnswer(query, service, started.sends[0].attempt, answerFor("a"), now, random));
    const auto ended = Query::onTimer(query, service, query.plan.deadline, random);
    ASSERT_TRUE(ended.finished);
    EXPECT_EQ(ended.finished->result, Query::outcome::Partial);
    EXPECT_DOUBLE_EQ(ended.finished->coverage, 0.75);
}

TEST_F(query_events, RetriesWithoutMergingWhenAnswerIsFromAnotherSnapshot)
{
    const auto started = Query::startQuery(query, service, now, random);
    Query::shard_answer mismatched = answerFor("a");
    mismatched.snapshot = "s2";
    mismatched.items.push_back({"x", 1.0});
    const auto after = Query::onAnswer(query, service, started.sends[0].attempt, mismatched, now, random);
    EXPECT_EQ(after.sends.size(), 1U) << "the request is retried on another replica";
    EXPECT_TRUE(query.items.empty());
}

TEST_F(query_events, DoesNotRetryNonIdempotentRequestAfterLostConnection)
{
    query.plan.idempotent = false;
    query.plan.shards = {{"a", 3.0}};
    const auto started = Query::startQuery(query, service, now, random);
    const auto ended = Query::onFailure(query, service, started.sends[0].attempt,
                                        Backend::attempt_failure::ConnectionLost, now, random);
    EXPECT_TRUE(ended.sends.empty());
    ASSERT_TRUE(ended.finished);
    EXPECT_EQ(ended.finished->result, Query::outcome::Unknown);
}
