#include "LibRollout/Evidence.h"
#include "LibRollout/EvidenceCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

static Rollout::rollout_evidence arbitraryEvidence()
{
    Rollout::rollout_evidence evidence;
    evidence.bad = *rc::gen::inRange(0, 10) == 0;
    // More daemons than the sample keeps, so that the property covers the selection of the sample.
    const int rows = *rc::gen::inRange(0, 70);
    for (int row = 0; row < rows; ++row) {
        Rollout::daemon_evidence daemon;
        daemon.dataCentre = 3;
        Rollout::route_evidence &route = daemon.routes[*rc::gen::inRange(0, 2)];
        const auto window = static_cast<std::uint32_t>(*rc::gen::inRange(0, 4));
        const auto total = static_cast<std::uint32_t>(*rc::gen::inRange(0, 50));
        route.windows[0][window] = {total, {total / 2, total / 3, total}, {total + 1, total, total}};
        Rollout::mergeDaemon(evidence, static_cast<std::uint64_t>(*rc::gen::inRange(0, 90)), daemon);
    }
    return evidence;
}

static Rollout::rollout_evidence merged(Rollout::rollout_evidence left, const Rollout::rollout_evidence &right)
{
    Rollout::mergeEvidence(left, right);
    return left;
}

RC_GTEST_PROP(Evidence, MergeIsCommutativeAssociativeAndIdempotent, ())
{
    const auto first = arbitraryEvidence();
    const auto second = arbitraryEvidence();
    const auto third = arbitraryEvidence();
    RC_ASSERT(merged(first, second) == merged(second, first));
    RC_ASSERT(merged(merged(first, second), third) == merged(first, merged(second, third)));
    RC_ASSERT(merged(first, first) == first);
}

RC_GTEST_PROP(Evidence, DecodesEncodedEvidenceAndNeverInventsRowsWhenTruncated, ())
{
    const auto evidence = arbitraryEvidence();
    std::uint64_t after = 0;
    const std::string text = Rollout::encodeEvidence(evidence, std::numeric_limits<std::size_t>::max(), after);
    RC_ASSERT(Rollout::decodeEvidence(text).value() == evidence);
    // A truncated message is rejected or yields a subset of the rows.
    const auto cut = Rollout::decodeEvidence(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
    RC_ASSERT((!cut || merged(evidence, *cut) == evidence));
}

TEST(Evidence, SendsAllRowsOverSuccessiveMessagesWhenSizeIsLimited)
{
    Rollout::rollout_evidence evidence;
    for (std::uint64_t incarnation = 1; incarnation <= 40; ++incarnation) {
        Rollout::daemon_evidence daemon;
        daemon.routes[7].windows[0][1] = {10, {1, 1, 20}, {}};
        Rollout::mergeDaemon(evidence, incarnation, daemon);
    }
    Rollout::rollout_evidence received;
    std::uint64_t after = 0;
    for (int message = 0; message < 10; ++message) {
        const std::string text = Rollout::encodeEvidence(evidence, 128, after);
        ASSERT_LE(text.size(), 128U);
        Rollout::mergeEvidence(received, Rollout::decodeEvidence(text).value());
    }
    EXPECT_EQ(received, evidence);
}
