#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ShardAvailability.h"
#include "ServiceFixture.h"

#include <rapidcheck/gtest.h>

namespace
{
struct warmth : service_fixture {
};

rc::Gen<Backend::warmth_record> anyRecord()
{
    return rc::gen::apply(
        [](std::uint64_t configuration, std::uint64_t generation, bool other, std::uint32_t level) {
            return Backend::warmth_record {"a1", configuration, generation, other ? "i2" : "i1", level};
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

RC_GTEST_PROP(warmth_properties, JoinIsCommutativeAssociativeAndIdempotent, ())
{
    const auto a = *anyRecord();
    const auto b = *anyRecord();
    const auto c = *anyRecord();
    RC_ASSERT(Backend::joinWarmth(a, b) == Backend::joinWarmth(b, a));
    RC_ASSERT(Backend::joinWarmth(Backend::joinWarmth(a, b), c) == Backend::joinWarmth(a, Backend::joinWarmth(b, c)));
    RC_ASSERT(Backend::joinWarmth(a, a) == a);
}

RC_GTEST_PROP(warmth_properties, OrderAndRepetitionOfRecordsDoNotMatter, ())
{
    const auto records = *rc::gen::container<std::vector<Backend::warmth_record>>(anyRecord());
    Backend::service_state forwards = serviceWithOneReplica();
    Backend::service_state backwards = serviceWithOneReplica();
    for (const Backend::warmth_record &record : records) {
        Backend::importWarmth(forwards, {record}, {});
        Backend::importWarmth(forwards, {record}, {});
    }
    Backend::importWarmth(backwards, {records.rbegin(), records.rend()}, {});
    RC_ASSERT(forwards.replicas[0].warmth == backwards.replicas[0].warmth);
}

TEST_F(warmth, OnlyTheWarmerSendsToAColdReplicaAndOnlyWhatItBears)
{
    rankForA1(0);
    passHandOver();
    const auto first = choose();
    ASSERT_TRUE(first);
    EXPECT_EQ(service.replicas[*first].name, "a1");
    Backend::recordSent(service, *first, now);
    EXPECT_FALSE(choose()) << "a cold replica is sent at most one request at a time";
    rankForA1(1);
    Backend::recordCancelled(service, *first, now);
    EXPECT_FALSE(choose());
    const auto told = Backend::availabilityOf(service, {"a", "", nullptr, {}}, now);
    EXPECT_EQ(told.state, Backend::availability::ColdElsewhere);
    EXPECT_EQ(told.warmer, "other");
}

TEST_F(warmth, ANewWarmerWaitsForItsPredecessorsRequests)
{
    rankForA1(0);
    now += Backend::ownershipLifetime;
    Backend::confirmOwnership(service, now);
    EXPECT_FALSE(choose()) << "the predecessor's last requests may still be running";
    const std::vector<std::size_t> tried {service.byName.at("a2")};
    EXPECT_EQ(Backend::availabilityOf(service, {"a", "", nullptr, tried}, now).state,
              Backend::availability::ColdWaiting);
    now += std::chrono::milliseconds(1001);
    EXPECT_TRUE(choose());
}

TEST_F(warmth, AWarmerThatWasPausedStopsUntilItsViewIsConfirmedAndHandedOver)
{
    rankForA1(0);
    passHandOver();
    ASSERT_TRUE(choose());
    now += std::chrono::seconds(10);
    EXPECT_FALSE(choose());
    Backend::confirmOwnership(service, now);
    EXPECT_FALSE(choose()) << "another daemon may have run the slow start in the meantime";
    passHandOver();
    EXPECT_TRUE(choose());
}

TEST_F(warmth, TwoDaemonsThatBothClaimAReplicaBothWait)
{
    rankForA1(0);
    passHandOver();
    ASSERT_TRUE(choose());
    EXPECT_EQ(Backend::claimedReplicas(service), std::vector<std::string> {"a1"});
    Backend::observeClaim(service, "a1", now);
    EXPECT_FALSE(choose());
    passHandOver();
    EXPECT_TRUE(choose());
}

TEST_F(warmth, WarmthNeedsAnswersAndNotOnlyTime)
{
    rankForA1(0);
    passHandOver();
    now += std::chrono::hours(1);
    passHandOver();
    EXPECT_EQ(replica("a1").warmth.level, 0U);
    for (int count = 0; count < 200; ++count) {
        Backend::confirmOwnership(service, now);
        answer("a1", {"i1", 0.5, true, false});
    }
    EXPECT_EQ(replica("a1").warmth.level, 0U) << "responses reported as cold do not count";
    for (int count = 0; count < 4; ++count) {
        answer("a1", {"i1", 0.5, false, false});
    }
    EXPECT_EQ(replica("a1").warmth.level, 0U) << "too few responses for the next level";
    for (int count = 0; count < 400; ++count) {
        Backend::confirmOwnership(service, now);
        answer("a1", {"i1", 0.5, false, false});
    }
    EXPECT_EQ(replica("a1").warmth.level, Backend::warmestLevel);
}

TEST_F(warmth, SlowAnswersOfAnUnreportedColdStartAreNoEvidence)
{
    warmAll();
    for (int count = 0; count < 50; ++count) {
        answer("a2", {"i1", 0.5, false, false});
    }
    answer("a1", {"i2", 0.5, false, false});
    rankForA1(0);
    passHandOver();
    for (int count = 0; count < 50; ++count) {
        Backend::confirmOwnership(service, now);
        answer("a1", {"i2", 0.5, false, false}, std::chrono::milliseconds(100));
    }
    EXPECT_EQ(replica("a1").warmth.level, 0U);
}

TEST_F(warmth, OvertakenAnswersCountAgainstWarmth)
{
    warmAll();
    for (int count = 0; count < 50; ++count) {
        answer("a2", {"i1", 0.5, false, false});
    }
    answer("a1", {"i2", 0.5, false, false});
    rankForA1(0);
    passHandOver();
    for (int count = 0; count < 100; ++count) {
        Backend::confirmOwnership(service, now);
        answer("a1", {"i2", 0.5, false, false});
        if (count % 4 == 0) {
            Backend::recordOvertaken(service, service.byName.at("a1"), std::chrono::milliseconds(9), now);
        }
    }
    EXPECT_EQ(replica("a1").warmth.level, 0U) << "hedges cancelled a quarter of its requests";
}

TEST_F(warmth, ARestartOrAColdReportHoldsTheReplicaFromTheFirstEvidenceOn)
{
    warmAll();
    rankForA1(1);
    answer("a1", {"i2", 0.5, false, false});
    EXPECT_EQ(replica("a1").warmth.level, 0U);
    Backend::recordSent(service, service.byName.at("a2"), now);
    Backend::recordFailure(service, service.byName.at("a2"),
                           {Backend::attempt_failure::NotRun, {"i1", 0.5, true, false}}, now);
    EXPECT_EQ(replica("a2").warmth.level, 0U);
    EXPECT_FALSE(choose());
}

TEST_F(warmth, StepsLetOthersInByRank)
{
    rankForA1(1);
    Backend::importWarmth(service, {{"a1", 0, 1, "i1", 1}}, now);
    EXPECT_TRUE(choose());
    rankForA1(2);
    EXPECT_FALSE(choose());
    Backend::importWarmth(service, {{"a1", 0, 1, "i1", 2}}, now);
    EXPECT_TRUE(choose());
    Backend::importWarmth(service, {{"a2", 0, 1, "i1", 2}}, now);
    const std::vector<std::size_t> tried {service.byName.at("a1")};
    EXPECT_FALSE(Backend::chooseReplica(service, {"a", "", nullptr, tried}, now, random))
        << "a2 is in another data centre";
}

TEST_F(warmth, AFreshDaemonTakesWarmthFromPeersButBelievesItsOwnEyes)
{
    Backend::importWarmth(service, {{"a1", 3, 7, "i1", Backend::warmestLevel}}, now);
    EXPECT_EQ(replica("a1").warmth.level, Backend::warmestLevel) << "the first configuration does not show restarts";
    answer("a2", {"i9", 0.5, false, false});
    Backend::importWarmth(service, {{"a2", 3, 7, "i8", Backend::warmestLevel}}, now);
    EXPECT_EQ(replica("a2").warmth, (Backend::warmth_record {"a2", 3, 8, "i9", 0}));
}

TEST_F(warmth, AReturningDataCentreIsColdOnceWhateverTheOrder)
{
    warmAll();
    document.number = 6;
    document.dataCentres["dc1"].out = true;
    apply();
    document.number = 7;
    document.dataCentres["dc1"].out = false;
    apply();
    EXPECT_EQ(replica("a1").warmth.level, 0U);
    EXPECT_EQ(replica("a2").warmth.level, Backend::warmestLevel);
    document.number = 8;
    document.dataCentres["dc1"].out = true;
    apply();
    Backend::importWarmth(service, {{"a1", 9, 0, "i2", 1}}, now);
    document.number = 9;
    document.dataCentres["dc1"].out = false;
    apply();
    EXPECT_EQ(replica("a1").warmth.level, 1U) << "a peer began the slow start earlier and has made progress";
}

TEST_F(warmth, OnlyRecentChangesAreExported)
{
    warmAll();
    now += std::chrono::seconds(1);
    answer("a1", {"i2", 0.5, false, false});
    const auto changed = Backend::exportWarmth(service, now - std::chrono::milliseconds(500));
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0], (Backend::warmth_record {"a1", 0, 1, "i2", 0}));
    EXPECT_EQ(Backend::exportWarmth(service, Core::time_point::min()).size(), 2U);
}
