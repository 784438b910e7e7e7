#include "QueryFixture.h"

using Backend::attempt_failure;

struct root_and_branch : query_fixture {
    void setOwners(const std::vector<std::string> &peers)
    {
        Backend::ownership_view view;
        for (const Query::planned_shard &shard : query.plan.shards) {
            view.byShard[shard.name] = {false, peers};
        }
        Backend::applyOwnership(service, view, now);
    }
};

TEST_F(root_and_branch, SendsAllShardsOfAnOwnerGroupToOnePeer)
{
    prepare(8);
    setOwners({"vm-1", "vm-2", "vm-3"});
    const auto started = Query::startQuery(query, service, now, random);
    ASSERT_EQ(started.sends.size(), 8U);
    for (const Query::send_attempt &send : started.sends) {
        EXPECT_EQ(send.target.peer, started.sends[0].target.peer);
    }
}

TEST_F(root_and_branch, PrefersNearOwnersWhileTheyAreHealthy)
{
    prepare(1);
    setOwners({"near-1", "near-2", "far-1", "far-2"});
    for (int iteration = 0; iteration < 50; ++iteration) {
        Query::query_state freshQuery;
        freshQuery.plan = query.plan;
        const auto started = Query::startQuery(freshQuery, service, now, random);
        EXPECT_TRUE(started.sends[0].target.peer.starts_with("near")) << started.sends[0].target.peer;
    }
}

TEST_F(root_and_branch, CountsShardRequestsAsReportedByTheBranch)
{
    prepare(2);
    setOwners({"vm-1", "vm-2"});
    const auto started = Query::startQuery(query, service, now, random);
    ASSERT_EQ(started.sends.size(), 2U);
    query.branchRequests = 3; // The branch hedged one of the two requests.
    static_cast<void>(Query::onAnswer(query, service, started.sends[0].attempt, answerFor(0), now, random));
    const auto ended = Query::onAnswer(query, service, started.sends[1].attempt, answerFor(1), now, random);
    ASSERT_TRUE(ended.finished);
    EXPECT_EQ(ended.finished->shardRequests, 3U);
}

TEST_F(root_and_branch, RetriesOnAnotherOwnerWhenConnectionToPeerIsLost)
{
    prepare(1);
    setOwners({"vm-1", "vm-2"});
    const auto started = Query::startQuery(query, service, now, random);
    const auto retried =
        Query::onFailure(query, service, started.sends[0].attempt, attempt_failure::ConnectionLost, now, random);
    ASSERT_EQ(retried.sends.size(), 1U);
    EXPECT_NE(retried.sends[0].target.peer, started.sends[0].target.peer);
    EXPECT_FALSE(retried.sends[0].target.peer.empty());
}

TEST_F(root_and_branch, RetriesNonIdempotentRequestOnlyIfTheBranchReportsNotRun)
{
    for (const attempt_failure failure : {attempt_failure::ConnectionLost, attempt_failure::NotRun}) {
        prepare(1);
        setOwners({"vm-1", "vm-2"});
        query.plan.idempotent = false;
        const auto started = Query::startQuery(query, service, now, random);
        const auto after = Query::onFailure(query, service, started.sends[0].attempt, failure, now, random);
        EXPECT_EQ(after.sends.size(), failure == attempt_failure::NotRun ? 1U : 0U);
        if (failure == attempt_failure::ConnectionLost) {
            ASSERT_TRUE(after.finished);
            EXPECT_EQ(after.finished->result, Query::outcome::Unknown);
        } else {
            EXPECT_NE(after.sends.at(0).target.peer, started.sends[0].target.peer);
        }
    }
}

TEST_F(root_and_branch, BranchNeverSendsToPeers)
{
    prepare(4);
    setOwners({"vm-1", "vm-2"});
    query.plan.ownReplicasOnly = true;
    for (const Query::send_attempt &send : Query::startQuery(query, service, now, random).sends) {
        EXPECT_TRUE(send.target.peer.empty());
    }
}
