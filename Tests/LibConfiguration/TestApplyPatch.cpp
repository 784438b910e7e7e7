#include "LibConfiguration/ApplyPatch.h"
#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchRequest.h"

#include <gtest/gtest.h>

using Configuration::patch_verdict;

TEST(ApplyPatch, IncrementsNumberAndDetectsRepeatedPatch)
{
    const Configuration::patch_request first {0, "0-a", R"({"data_centres":{"dc1":{"region":"r1"}}})"};
    const Configuration::patch_outcome outcome = Configuration::applyPatch("", first);
    ASSERT_EQ(outcome.verdict, patch_verdict::Applied);
    EXPECT_EQ(outcome.number, 1U);
    EXPECT_EQ(Configuration::applyPatch(outcome.text, first).verdict, patch_verdict::AlreadyApplied);
}

TEST(ApplyPatch, ReturnsCurrentNumberWhenBaseNumberIsStale)
{
    const auto first = Configuration::applyPatch("", {0, "0-a", R"({"data_centres":{"dc1":{"region":"r1"}}})"});
    const auto stale = Configuration::applyPatch(first.text, {0, "0-b", R"({"tier":{"hedge_budget":0.1}})"});
    EXPECT_EQ(stale.verdict, patch_verdict::StaleNumber);
    EXPECT_EQ(stale.number, 1U);
}

TEST(ApplyPatch, ReportsEveryFindingWithItsPath)
{
    const auto outcome = Configuration::applyPatch(
        "", {0, "0-a", R"({"tier":{"hedge_budget":7},"services":{"s":{"current_snapshot":"x","colour":1}}})"});
    ASSERT_EQ(outcome.verdict, patch_verdict::Invalid);
    std::vector<std::string> paths;
    for (const Core::finding &finding : outcome.findings) {
        paths.push_back(finding.path);
    }
    EXPECT_EQ(paths,
              (std::vector<std::string> {"/tier/hedge_budget", "/services/s/colour", "/services/s/current_snapshot"}));
}
