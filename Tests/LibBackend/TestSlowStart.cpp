#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ShardAvailability.h"
#include "ServiceFixture.h"

#include <rapidcheck/gtest.h>

namespace
{
struct slow_start : service_fixture {
};

rc::Gen<Backend::slow_start_record> anyRecord()
{
    return rc::gen::apply(
        [](std::uint64_t configuration, std::uint64_t generation, bool other, std::uint32_t level) {
            return Backend::slow_start_record {"a1", configuration, generation, other ? "i2" : "i1", level};
        },
        rc::gen::inRange<std::uint64_t>(1, 4), rc::gen::inRange<std::uint64_t>(1, 4), rc::gen::arbitrary<bool>(),
        rc::gen::inRange<std::uint32_t>(0, 4));
}

Backend::service_state serviceWithOneReplica()
{
    Configuration::configuration_document document;
    document.number = 1;
    document.dataCentres["dc1"];
    Configuration::service_settings &settings = document.services["search"];
    settings.replicas["a1"] = {"a", "127.0.0.1:1", "dc1", "v1", false};
    Backend::service_state service;
    Backend::applyConfiguration(service, document, settings, {});
    return service;
}
} // namespace

RC_GTEST_PROP(slow_start_properties, JoinIsCommutativeAssociativeAndIdempotent, ())
{
    const auto a = *anyRecord();
    const auto b = *anyRecord();
    const auto c = *anyRecord();
    RC_ASSERT(Backend::joinSlowStart(a, b) == Backend::joinSlowStart(b, a));
    RC_ASSERT(Backend::joinSlowStart(Backend::joinSlowStart(a, b), c)
              == Backend::joinSlowStart(a, Backend::joinSlowStart(b, c)));
    RC_ASSERT(Backend::joinSlowStart(a, a) == a);
}

RC_GTEST_PROP(slow_start_properties, YieldsSameStateWhenRecordsAreReorderedOrRepeated, ())
{
    const auto records = *rc::gen::container<std::vector<Backend::slow_start_record>>(anyRecord());
    Backend::service_state forwards = serviceWithOneReplica();
    Backend::service_state backwards = serviceWithOneReplica();
    for (const Backend::slow_start_record &record : records) {
        Backend::importSlowStart(forwards, {record}, {});
        Backend::importSlowStart(forwards, {record}, {});
    }
    Backend::importSlowStart(backwards, {records.rbegin(), records.rend()}, {});
    RC_ASSERT(forwards.replicas[0].slowStart == backwards.replicas[0].slowStart);
}

TEST_F(slow_start, AdmitsOneRequestOfOwnerWhenReplicaIsCold)
{
    setRankForA1(0);
    completeHandover();
    const auto first = choose();
    ASSERT_TRUE(first);
    EXPECT_EQ(service.replicas[*first].name, "a1");
    Backend::recordSent(service, *first, now);
    EXPECT_FALSE(choose()) << "a cold replica is sent at most one request at a time";
    setRankForA1(1);
    Backend::recordCancelled(service, *first, now);
    EXPECT_FALSE(choose());
    const auto result = Backend::availabilityOf(service, {"a", "", nullptr, {}}, now);
    EXPECT_EQ(result.state, Backend::availability::SlowStartElsewhere);
    EXPECT_EQ(result.slowStartOwner, "other");
}

TEST_F(slow_start, WaitsForPredecessorsRequestsWhenOwnerChanges)
{
    setRankForA1(0);
    now += Backend::ownershipLifetime;
    Backend::confirmOwnership(service, now);
    EXPECT_FALSE(choose()) << "the predecessor's last requests may still be running";
    const std::vector<std::size_t> tried {service.byName.at("a2")};
    EXPECT_EQ(Backend::availabilityOf(service, {"a", "", nullptr, tried}, now).state,
              Backend::availability::AwaitingHandover);
    now += std::chrono::milliseconds(1001);
    EXPECT_TRUE(choose());
}

TEST_F(slow_start, RestartsHandoverWhenOwnerResumesFromSuspension)
{
    setRankForA1(0);
    completeHandover();
    ASSERT_TRUE(choose());
    now += std::chrono::seconds(10);
    EXPECT_FALSE(choose());
    Backend::confirmOwnership(service, now);
    EXPECT_FALSE(choose()) << "another daemon may have run the slow start in the meantime";
    completeHandover();
    EXPECT_TRUE(choose());
}

TEST_F(slow_start, WaitsWhenAnotherDaemonClaimsSameReplica)
{
    setRankForA1(0);
    completeHandover();
    ASSERT_TRUE(choose());
    EXPECT_EQ(Backend::claimedReplicas(service), std::vector<std::string> {"a1"});
    Backend::recordClaim(service, "a1", now);
    EXPECT_FALSE(choose());
    completeHandover();
    EXPECT_TRUE(choose());
}

TEST_F(slow_start, AdvancesOnlyWhenEnoughWarmResponsesArrive)
{
    setRankForA1(0);
    completeHandover();
    now += std::chrono::hours(1);
    completeHandover();
    EXPECT_EQ(replica("a1").slowStart.level, 0U);
    for (int count = 0; count < 200; ++count) {
        Backend::confirmOwnership(service, now);
        respond("a1", {"i1", 0.5, true, false});
    }
    EXPECT_EQ(replica("a1").slowStart.level, 0U) << "responses reported as cold do not count";
    for (int count = 0; count < 4; ++count) {
        respond("a1", {"i1", 0.5, false, false});
    }
    EXPECT_EQ(replica("a1").slowStart.level, 0U) << "too few responses for the next level";
    for (int count = 0; count < 400; ++count) {
        Backend::confirmOwnership(service, now);
        respond("a1", {"i1", 0.5, false, false});
    }
    EXPECT_EQ(replica("a1").slowStart.level, Backend::completedSlowStartLevel);
}

TEST_F(slow_start, StaysColdWhenResponsesAreSlow)
{
    completeSlowStarts();
    for (int count = 0; count < 50; ++count) {
        respond("a2", {"i1", 0.5, false, false});
    }
    respond("a1", {"i2", 0.5, false, false});
    setRankForA1(0);
    completeHandover();
    for (int count = 0; count < 50; ++count) {
        Backend::confirmOwnership(service, now);
        respond("a1", {"i2", 0.5, false, false}, std::chrono::milliseconds(100));
    }
    EXPECT_EQ(replica("a1").slowStart.level, 0U);
}

TEST_F(slow_start, StaysColdWhenHedgesOvertakeResponses)
{
    completeSlowStarts();
    for (int count = 0; count < 50; ++count) {
        respond("a2", {"i1", 0.5, false, false});
    }
    respond("a1", {"i2", 0.5, false, false});
    setRankForA1(0);
    completeHandover();
    for (int count = 0; count < 100; ++count) {
        Backend::confirmOwnership(service, now);
        respond("a1", {"i2", 0.5, false, false});
        if (count % 4 == 0) {
            Backend::recordOvertaken(service, service.byName.at("a1"), std::chrono::milliseconds(9), now);
        }
    }
    EXPECT_EQ(replica("a1").slowStart.level, 0U) << "hedges cancelled a quarter of its requests";
}

TEST_F(slow_start, BeginsSlowStartWhenReplicaRestartsOrReportsCold)
{
    completeSlowStarts();
    setRankForA1(1);
    respond("a1", {"i2", 0.5, false, false});
    EXPECT_EQ(replica("a1").slowStart.level, 0U);
    Backend::recordSent(service, service.byName.at("a2"), now);
    Backend::recordFailure(service, service.byName.at("a2"),
                           {Backend::attempt_failure::NotRun, {"i1", 0.5, true, false}}, now);
    EXPECT_EQ(replica("a2").slowStart.level, 0U);
    EXPECT_FALSE(choose());
}

TEST_F(slow_start, AdmitsDaemonsByRankWhenLevelIncreases)
{
    setRankForA1(1);
    Backend::importSlowStart(service, {{"a1", 0, 1, "i1", 1}}, now);
    EXPECT_TRUE(choose());
    setRankForA1(2);
    EXPECT_FALSE(choose());
    Backend::importSlowStart(service, {{"a1", 0, 1, "i1", 2}}, now);
    EXPECT_TRUE(choose());
    Backend::importSlowStart(service, {{"a2", 0, 1, "i1", 2}}, now);
    const std::vector<std::size_t> tried {service.byName.at("a1")};
    EXPECT_FALSE(Backend::chooseReplica(service, {"a", "", nullptr, tried}, now, random))
        << "a2 is in another data centre";
}

TEST_F(slow_start, PrefersOwnReportWhenPeerRecordDescribesOtherProcess)
{
    Backend::importSlowStart(service, {{"a1", 3, 7, "i1", Backend::completedSlowStartLevel}}, now);
    EXPECT_EQ(replica("a1").slowStart.level, Backend::completedSlowStartLevel)
        << "the first configuration does not show restarts";
    respond("a2", {"i9", 0.5, false, false});
    Backend::importSlowStart(service, {{"a2", 3, 7, "i8", Backend::completedSlowStartLevel}}, now);
    EXPECT_EQ(replica("a2").slowStart, (Backend::slow_start_record {"a2", 3, 8, "i9", 0}));
}

TEST_F(slow_start, BeginsSlowStartOnceWhenDataCentreReturns)
{
    completeSlowStarts();
    document.number = 6;
    document.dataCentres["dc1"].out = true;
    apply();
    document.number = 7;
    document.dataCentres["dc1"].out = false;
    apply();
    EXPECT_EQ(replica("a1").slowStart.level, 0U);
    EXPECT_EQ(replica("a2").slowStart.level, Backend::completedSlowStartLevel);
    document.number = 8;
    document.dataCentres["dc1"].out = true;
    apply();
    Backend::importSlowStart(service, {{"a1", 9, 0, "i2", 1}}, now);
    document.number = 9;
    document.dataCentres["dc1"].out = false;
    apply();
    EXPECT_EQ(replica("a1").slowStart.level, 1U) << "a peer began the slow start earlier and has made progress";
}

TEST_F(slow_start, ExportsOnlyRecordsThatChangedAfterGivenTime)
{
    completeSlowStarts();
    now += std::chrono::seconds(1);
    respond("a1", {"i2", 0.5, false, false});
    const auto changed = Backend::exportSlowStart(service, now - std::chrono::milliseconds(500));
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0], (Backend::slow_start_record {"a1", 0, 1, "i2", 0}));
    EXPECT_EQ(Backend::exportSlowStart(service, Core::time_point::min()).size(), 2U);
}
