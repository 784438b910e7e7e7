#include "ServiceFixture.h"

namespace
{
struct apply_configuration : service_fixture {
    Configuration::service_settings &settings()
    {
        return document.services.at("search");
    }

    void applyNext()
    {
        ++document.number;
        apply();
    }
};
} // namespace

TEST_F(apply_configuration, ReusesIndexOnlyWhenItsRequestsHaveEnded)
{
    completeSlowStarts();
    const std::size_t busy = service.byName.at("a1");
    Backend::recordSent(service, busy, now);
    settings().replicas.erase("a1");
    settings().replicas["a3"] = {"a", "127.0.0.1:3", "dc1", "v1", false};
    applyNext();
    settings().replicas["a5"] = {"a", "127.0.0.1:5", "dc1", "v1", false};
    applyNext();
    EXPECT_NE(service.byName.at("a3"), busy);
    EXPECT_NE(service.byName.at("a5"), busy);
    Backend::recordResponse(service, busy, {"i1", 0.0, false, false}, std::chrono::seconds(1), now);
    settings().replicas["a4"] = {"a", "127.0.0.1:4", "dc1", "v1", false};
    applyNext();
    EXPECT_EQ(service.byName.at("a4"), busy);
    EXPECT_EQ(replica("a4").slowStart, (Backend::slow_start_record {"a4", document.number, 0, "", 0}));
}

TEST_F(apply_configuration, ResetsReplicaStateWhenAddressChanges)
{
    completeSlowStarts();
    const std::size_t old = service.byName.at("a1");
    Backend::recordSent(service, old, now);
    settings().replicas["a1"].address = "127.0.0.1:9";
    applyNext();
    EXPECT_EQ(replica("a1").slowStart.level, 0U);
    EXPECT_EQ(replica("a1").inFlight, 0U);
    Backend::recordResponse(service, old, {"i1", 0.0, false, false}, std::chrono::seconds(1), now);
    EXPECT_EQ(replica("a1").smoothedLatency, Core::real_seconds::zero())
        << "latencies of the old process do not apply to the new one";
}

TEST_F(apply_configuration, KeepsReplicaStateWhenUnrelatedSettingsChange)
{
    completeSlowStarts();
    respond("a1", {"i1", 0.0, false, true});
    settings().replicas["b1"] = {"b", "127.0.0.1:7", "dc1", "v1", false};
    applyNext();
    EXPECT_EQ(replica("a1").slowStart.level, Backend::completedSlowStartLevel);
    EXPECT_TRUE(replica("a1").reportedLeaving);
    EXPECT_GT(replica("a1").smoothedLatency, Core::real_seconds::zero());
}
