#include "LibConfiguration/ApplyPatch.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/PatchOutcome.h"
#include "LibConfiguration/PatchRequest.h"
#include "LibConfiguration/ServiceSettings.h"
#include "LibCore/RandomEngine.h"
#include "LibRollout/ChooseVersion.h"
#include "LibRollout/CloseRollout.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/RolloutShare.h"

#include <gtest/gtest.h>

using Rollout::verdict;
using Rollout::version_side;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
struct rollout : testing::Test {
    Core::wall_time start {seconds(1'000'000)};
    Core::wall_time now = start + seconds(60);
    Configuration::service_settings service;
    Rollout::rollout_evidence evidence;

    void SetUp() override
    {
        service.version = "v1";
        service.rollout = {7, "v1", "v2", start, start + seconds(1000), false};
    }

    /// Records `queries` at one daemon, a fraction `newShare` of them for the new version.
    void recordAnswers(std::uint64_t incarnation, const std::string &route, int queries, double newShare,
                       double oldFaults, double newFaults)
    {
        Rollout::own_evidence own;
        Core::random_engine random(incarnation);
        std::uniform_real_distribution<double> draw(0.0, 1.0);
        for (int query = 0; query < queries; ++query) {
            const version_side side = draw(random) < newShare ? version_side::New : version_side::Old;
            const bool failed = draw(random) < (side == version_side::New ? newFaults : oldFaults);
            Rollout::recordAnswer(own, {side, newShare, route, failed, milliseconds(10)}, now);
        }
        Rollout::mergeDaemon(evidence, incarnation, own.counts);
    }
};
} // namespace

TEST_F(rollout, VerdictIsBadWhenNewVersionReturnsErrors)
{
    recordAnswers(1, "r", 1000, 0.04, 0.01, 0.5);
    EXPECT_EQ(Rollout::evaluateEvidence(evidence, now), verdict::Bad);
    EXPECT_EQ(Rollout::shareOfNewVersion(*service.rollout, evidence, now), 0.0);
}

TEST_F(rollout, VerdictIsGoodWhenBothVersionsFailInOneDataCentre)
{
    // The daemons of the failing data centre have a higher share, so most of the new version's answers come from there.
    recordAnswers(1, "r", 10000, 0.04, 0.01, 0.01);
    recordAnswers(2, "r", 5000, 0.6, 0.5, 0.5);
    EXPECT_EQ(Rollout::evaluateEvidence(evidence, now), verdict::Good);
}

TEST_F(rollout, DetectsFaultOnOneRouteAmongHealthyRoutes)
{
    recordAnswers(1, "busy", 100000, 0.5, 0.05, 0.05);
    recordAnswers(2, "r", 250, 0.5, 0.01, 0.4);
    EXPECT_EQ(Rollout::evaluateEvidence(evidence, now), verdict::Bad);
}

TEST_F(rollout, DetectsLateFaultAfterManyGoodAnswers)
{
    recordAnswers(1, "r", 200000, 0.6, 0.02, 0.02);
    now += seconds(100);
    recordAnswers(2, "r", 300, 0.6, 0.02, 0.4);
    EXPECT_EQ(Rollout::evaluateEvidence(evidence, now), verdict::Bad);
}

TEST_F(rollout, VerdictIsBadOnlyWhenNewVersionAloneIsSlow)
{
    Rollout::own_evidence slowNewVersion;
    Rollout::own_evidence slowBothVersions;
    for (int query = 0; query < 4000; ++query) {
        const version_side side = query % 4 == 0 ? version_side::New : version_side::Old;
        const milliseconds latency(10 + query % 7);
        const milliseconds slower = latency * (side == version_side::New ? 3 : 1);
        Rollout::recordAnswer(slowNewVersion, {side, 0.25, "r", false, slower}, now);
        Rollout::recordAnswer(slowBothVersions, {side, 0.25, "r", false, query < 2000 ? latency : latency * 10}, now);
    }
    Rollout::mergeDaemon(evidence, 1, slowBothVersions.counts);
    EXPECT_EQ(Rollout::evaluateEvidence(evidence, now), verdict::Good);
    Rollout::mergeDaemon(evidence, 2, slowNewVersion.counts);
    EXPECT_EQ(Rollout::evaluateEvidence(evidence, now), verdict::Bad);
}

TEST_F(rollout, CountsSlowAnswersReceivedBeforeTheBaseline)
{
    Rollout::own_evidence own;
    for (int query = 0; query < 18; ++query) {
        const version_side side = query % 2 == 0 ? version_side::New : version_side::Old;
        const milliseconds latency(side == version_side::New ? 30 : 10);
        Rollout::recordAnswer(own, {side, 0.03, "r", false, latency}, now);
    }
    // This is the tenth answer of the old version, recorded after the clock was set back.
    Rollout::recordAnswer(own, {version_side::Old, 0.03, "r", false, milliseconds(10)}, now - seconds(60));
    Rollout::mergeDaemon(evidence, 1, own.counts);
    EXPECT_EQ(Rollout::evaluateEvidence(evidence, now), verdict::Bad);
}

TEST_F(rollout, ShareStartsSmallAndReachesOneBeforeTheDeadline)
{
    EXPECT_EQ(Rollout::shareOfNewVersion(*service.rollout, evidence, start - seconds(1)), 0.0);
    EXPECT_LE(Rollout::shareOfNewVersion(*service.rollout, evidence, start + seconds(200)), 0.05);
    EXPECT_EQ(Rollout::shareOfNewVersion(*service.rollout, evidence, start + seconds(999)), 1.0);
    service.rollout->takenBack = true;
    EXPECT_EQ(Rollout::shareOfNewVersion(*service.rollout, evidence, start + seconds(999)), 0.0);
}

TEST_F(rollout, ClosesAsCompletedOrRolledBackButNotBoth)
{
    const Core::wall_time after = service.rollout->deadline + seconds(1);
    EXPECT_FALSE(Rollout::closeRollout("s", service, 5, evidence, now));
    EXPECT_EQ(Rollout::closeRollout("s", service, 5, evidence, after)->patchId, "5-rollout-done-s");
    evidence.bad = true;
    EXPECT_EQ(Rollout::closeRollout("s", service, 5, evidence, after)->patchId, "5-rollout-taken-back-s");
    service.rollout->takenBack = true;
    EXPECT_FALSE(Rollout::closeRollout("s", service, 5, {}, after));
    service.rollout->takenBack = false;
    service.version = "v2";
    EXPECT_FALSE(Rollout::closeRollout("s", service, 5, evidence, after));
    EXPECT_EQ(Rollout::chooseVersion(service, 0.0, "x"), "v2") << "a completed rollout must not be rolled back";
}

TEST_F(rollout, AppliesClosingPatchesIdempotently)
{
    const std::string first = R"({"data_centres":{"dc":{"region":"r"}},"services":{"s":{"current_snapshot":"x",
        "snapshots":{"x":{"shards":{"a":{"weight":1.0}}}},"version":"v1","replicas":{
            "old":{"shard":"a","address":"127.0.0.1:1","data_centre":"dc","version":"v1"},
            "new":{"shard":"a","address":"127.0.0.1:2","data_centre":"dc","version":"v2"}},
        "rollout":{"number":7,"from_version":"v1","to_version":"v2","start":1000000,"deadline":1001000}}}})";
    const auto started = Configuration::applyPatch("", {0, "0-start", first});
    ASSERT_EQ(started.verdict, Configuration::patch_verdict::Applied);
    for (const bool isBad : {true, false}) {
        evidence.bad = isBad;
        const auto patch = Rollout::closeRollout("s", started.document.services.at("s"), started.number, evidence,
                                                 service.rollout->deadline);
        ASSERT_TRUE(patch);
        const auto closed = Configuration::applyPatch(started.text, {started.number, patch->patchId, patch->patch});
        ASSERT_EQ(closed.verdict, Configuration::patch_verdict::Applied);
        EXPECT_TRUE(Rollout::isClosed(closed.document.services.at("s")));
        const auto again = Configuration::applyPatch(closed.text, {started.number, patch->patchId, patch->patch});
        EXPECT_EQ(again.verdict, Configuration::patch_verdict::AlreadyApplied);
    }
}

TEST_F(rollout, ChoosesSameVersionForRetriesInProportionToTheShare)
{
    int chosen = 0;
    for (int query = 0; query < 10000; ++query) {
        const std::string id = "vm-1." + std::to_string(query);
        const std::string version = Rollout::chooseVersion(service, 0.2, id);
        EXPECT_EQ(version, Rollout::chooseVersion(service, 0.2, id));
        chosen += version == "v2" ? 1 : 0;
    }
    EXPECT_NEAR(chosen, 2000, 200);
    EXPECT_EQ(Rollout::chooseVersion(service, 0.0, "x"), "v1");
    EXPECT_EQ(Rollout::chooseVersion(service, 1.0, "x"), "v2");
}
