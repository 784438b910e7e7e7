#include "QueryFixture.h"

using Backend::attempt_failure;

struct snapshot_gone : query_fixture {
};

TEST_F(snapshot_gone, RestartsOnceWhenServiceHasANewerSnapshot)
{
    prepare(2);
    service.currentSnapshot = "snapshot-2";
    const auto started = Query::startQuery(query, service, now, random);
    const auto restarted =
        Query::onFailure(query, service, started.sends[0].attempt, attempt_failure::SnapshotGone, now, random);
    EXPECT_TRUE(restarted.restart);
    EXPECT_FALSE(restarted.finished);
    EXPECT_EQ(restarted.cancels.size(), 1U);

    prepare(2);
    service.currentSnapshot = "snapshot-2";
    query.plan.restarted = true;
    const auto again = Query::startQuery(query, service, now, random);
    EXPECT_FALSE(
        Query::onFailure(query, service, again.sends[0].attempt, attempt_failure::SnapshotGone, now, random).restart);
}

TEST_F(snapshot_gone, DoesNotRestartNonIdempotentRequestThatMayHaveRun)
{
    prepare(2);
    service.currentSnapshot = "snapshot-2";
    query.plan.idempotent = false;
    const auto started = Query::startQuery(query, service, now, random);
    const auto after =
        Query::onFailure(query, service, started.sends[0].attempt, attempt_failure::SnapshotGone, now, random);
    EXPECT_FALSE(after.restart) << "the attempt for the other shard is still in flight";
}
