#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ResponseTimeout.h"
#include "ServiceFixture.h"

namespace
{
struct response_timeout : service_fixture {
    void SetUp() override
    {
        service_fixture::SetUp();
        completeSlowStarts();
        for (int count = 0; count < 100; ++count) {
            respond("a1", {"i1", 0.0, false, false});
            respond("a2", {"i1", 0.0, false, false});
        }
    }

    void timeOutRequest(const std::string &name)
    {
        Backend::recordSent(service, service.byName.at(name), now);
        now += Backend::responseTimeout(service, service.byName.at(name));
        Backend::recordFailure(service, service.byName.at(name), Backend::attempt_failure::ResponseTimeout, now);
    }
};
} // namespace

TEST_F(response_timeout, SuspectsConnectionsButNotReplicaWhenRequestTimesOut)
{
    EXPECT_FALSE(Backend::maximumConnectionAge(replica("a1"), now));
    timeOutRequest("a1");
    EXPECT_LE(replica("a1").avoidUntil, now);
    now += std::chrono::seconds(3);
    EXPECT_EQ(Backend::maximumConnectionAge(replica("a1"), now), std::chrono::seconds(3));
    EXPECT_FALSE(Backend::maximumConnectionAge(replica("a2"), now));
    now += std::chrono::minutes(3);
    EXPECT_FALSE(Backend::maximumConnectionAge(replica("a1"), now)) << "no idle connection is kept for that long";
}

TEST_F(response_timeout, StaysAboveStragglersAndBelowDeadlineWhenLatencyIsStable)
{
    const Core::duration bound = Backend::responseTimeout(service, service.byName.at("a1"));
    EXPECT_GT(bound, std::chrono::milliseconds(5 * 20));
    EXPECT_LT(bound, std::chrono::milliseconds(500));
    respond("a2", {"i1", 0.0, false, false}, std::chrono::milliseconds(300));
    EXPECT_GT(Backend::responseTimeout(service, service.byName.at("a1")), std::chrono::milliseconds(300));
}

TEST_F(response_timeout, TimesOutRarelyWhenReplicaIsPersistentlySlow)
{
    const Core::duration slow = std::chrono::milliseconds(700);
    int timeouts = 0;
    for (int count = 0; count < 20; ++count) {
        if (Backend::responseTimeout(service, service.byName.at("a1")) < slow) {
            timeOutRequest("a1");
            ++timeouts;
        } else {
            respond("a1", {"i1", 0.0, false, false}, slow);
        }
    }
    EXPECT_LE(timeouts, 3);
}
