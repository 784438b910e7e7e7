#include "LibBackend/Health.h"
#include "ServiceFixture.h"

namespace
{
struct health_requests : service_fixture {
    /// "a1" has completed its slow start and reported that it is leaving. This daemon would run its next slow start.
    void SetUp() override
    {
        service_fixture::SetUp();
        completeSlowStarts();
        setRankForA1(0);
        completeHandover();
        respond("a1", {"i1", 0.5, false, true});
    }

    [[nodiscard]] std::size_t countDueRequests()
    {
        return Backend::takeHealthRequests(service, now).size();
    }
};
} // namespace

TEST_F(health_requests, ReadmitsReplicaWhenNewProcessResponds)
{
    const auto requests = Backend::takeHealthRequests(service, now);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].address, "127.0.0.1:1");
    Backend::recordHealth(service, requests[0], {"i1", 0.0, false, false}, now);
    EXPECT_TRUE(replica("a1").reportedLeaving) << "the same process never accepts requests again";
    Backend::recordHealth(service, requests[0], {"i2", 0.0, true, false}, now);
    EXPECT_FALSE(replica("a1").reportedLeaving);
    EXPECT_EQ(replica("a1").slowStart.level, 0U) << "the new process starts cold";
}

TEST_F(health_requests, ReadmitsReplicaWhenPeerReportsNewProcess)
{
    Backend::importSlowStart(service, {{"a1", 0, 1, "i2", 0}}, now);
    EXPECT_FALSE(replica("a1").reportedLeaving);
    EXPECT_EQ(countDueRequests(), 0U);
}

TEST_F(health_requests, SendsOneRequestPerIntervalOnlyWhenRunningSlowStart)
{
    EXPECT_EQ(countDueRequests(), 1U);
    now += std::chrono::seconds(1);
    Backend::confirmOwnership(service, now);
    EXPECT_EQ(countDueRequests(), 0U) << "the last health request was sent a second ago";
    completeHandover();
    setRankForA1(1);
    EXPECT_EQ(countDueRequests(), 0U) << "another daemon sends the health requests";
}

TEST_F(health_requests, SendsNoRequestWhenDataCentreIsOut)
{
    document.number = 6;
    document.dataCentres["dc1"].out = true;
    apply();
    EXPECT_EQ(countDueRequests(), 0U);
}

TEST_F(health_requests, IgnoresResponseWhenAddressHasChanged)
{
    const auto requests = Backend::takeHealthRequests(service, now);
    ASSERT_EQ(requests.size(), 1U);
    document.number = 6;
    document.services["search"].replicas["a1"].address = "127.0.0.1:9";
    apply();
    respond("a1", {"i3", 0.5, false, true});
    Backend::recordHealth(service, requests[0], {"i2", 0.0, false, false}, now);
    EXPECT_TRUE(replica("a1").reportedLeaving);
}
