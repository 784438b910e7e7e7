#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ShardAvailability.h"
#include "ServiceFixture.h"

#include <map>

namespace
{
struct replica_choice : service_fixture {
    void SetUp() override
    {
        service_fixture::SetUp();
        completeSlowStarts();
    }

    void fail(const std::string &name, const Backend::failed_attempt &failed)
    {
        Backend::recordSent(service, service.byName.at(name), now);
        Backend::recordFailure(service, service.byName.at(name), failed, now);
    }

    /// Returns how often the replica is chosen in 1,000 choices, each with a different seed.
    int countChoices(const std::string &name)
    {
        int count = 0;
        for (std::uint64_t seed = 0; seed < 1000; ++seed) {
            random.seed(seed);
            count += service.replicas[choose().value()].name == name ? 1 : 0;
        }
        return count;
    }
};
} // namespace

TEST_F(replica_choice, ChoosesNoLeavingReplicaUntilNewProcessIsReported)
{
    const Backend::failed_attempt leaving(Backend::attempt_failure::NotRun, {"i1", 0.0, false, true});
    fail("a1", leaving);
    now += std::chrono::hours(1);
    EXPECT_EQ(countChoices("a1"), 0);
    respond("a1", {"i1", 0.5, false, false});
    EXPECT_EQ(countChoices("a1"), 0) << "responses to earlier requests do not show that it accepts new ones";
    Backend::importSlowStart(service, {{"a1", 0, 1, "i2", Backend::completedSlowStartLevel}}, now);
    EXPECT_GT(countChoices("a1"), 0);
}

TEST_F(replica_choice, AvoidsReplicaAndCompletesRunningRequestWhenDataCentreIsOut)
{
    Backend::recordSent(service, service.byName.at("a1"), now);
    document.number = 6;
    document.dataCentres["dc1"].out = true;
    apply();
    EXPECT_EQ(countChoices("a1"), 0);
    Backend::recordResponse(service, service.byName.at("a1"), {"i1", 0.0, false, false}, std::chrono::seconds(1), now);
    EXPECT_EQ(replica("a1").inFlight, 0U);
    EXPECT_EQ(countChoices("a1"), 0);
}

TEST_F(replica_choice, ChoosesReplicaWhenAllReplicasFail)
{
    fail("a1", Backend::attempt_failure::InvalidResponse);
    EXPECT_EQ(countChoices("a1"), 0);
    for (int count = 0; count < 20; ++count) {
        fail("a1", Backend::attempt_failure::ConnectFailed);
        fail("a2", Backend::attempt_failure::ConnectFailed);
    }
    EXPECT_TRUE(choose());
}

TEST_F(replica_choice, ReportsBusyWhenQueueLimitIsReached)
{
    setRankForA1(0);
    int sent = 0;
    while (const auto chosen = choose()) {
        Backend::recordSent(service, *chosen, now);
        ASSERT_LT(++sent, 1000);
    }
    EXPECT_EQ(Backend::availabilityOf(service, {"a", "", nullptr, {}}, now).state, Backend::availability::Busy);
    EXPECT_GE(sent, 4) << "all slots can be used";
}

TEST_F(replica_choice, DistributesRequestsWhenHintsAreSimilar)
{
    respond("a1", {"i1", 0.50, false, false});
    respond("a2", {"i1", 0.55, false, false});
    EXPECT_GT(countChoices("a1"), 250);
    EXPECT_GT(countChoices("a2"), 250);
}

TEST_F(replica_choice, PrefersOtherReplicaWhenOwnRequestsContradictHint)
{
    respond("a1", {"i1", 0.0, false, false});
    respond("a2", {"i1", 4.0, false, false});
    EXPECT_GT(countChoices("a1"), 900);
    for (int count = 0; count < 6; ++count) {
        Backend::recordSent(service, service.byName.at("a1"), now);
    }
    EXPECT_LT(countChoices("a1"), 500) << "a1 reports that it is idle, but six requests to it are in flight";
    now += std::chrono::seconds(2);
    EXPECT_EQ(countChoices("a1"), 0) << "the hint of a2 has decayed";
}

TEST_F(replica_choice, ChoosesSlowReplicaAgainWhenItsLatencyEstimateHasDecayed)
{
    for (int count = 0; count < 50; ++count) {
        respond("a2", {"i1", 0.0, false, false});
    }
    respond("a1", {"i1", 0.0, false, false}, std::chrono::milliseconds(400));
    EXPECT_EQ(countChoices("a1"), 0);
    now += std::chrono::seconds(30);
    EXPECT_GT(countChoices("a1"), 300);
}
