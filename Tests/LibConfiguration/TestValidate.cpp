#include "LibConfiguration/ApplyPatch.h"
#include "LibConfiguration/ChangeReport.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/Limits.h"
#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchRequest.h"
#include "Support/TargetSizeDocument.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

using Configuration::patch_verdict;

static std::set<std::string> pathsOf(const std::vector<Core::finding> &findings)
{
    std::set<std::string> paths;
    for (const Core::finding &finding : findings) {
        paths.insert(finding.path);
    }
    return paths;
}

TEST(Validate, ReportsAllFindingsOfInvalidDocumentTogether)
{
    const std::string hash(64, 'a');
    const auto parsed = Configuration::parseDocument(R"({
        "number": 1,
        "recent_patch_ids": ["0-a", "patch"],
        "tier": {"owners_per_replica": 30, "hedge_budget": "much"},
        "data_centres": {"dc 1": {"region": "r1"}, "dc2": {"region": "r/1"}, "dc3": {}},
        "teams": {
            "one": {"key_hash": ")" + hash + R"(", "share": 0.7, "data_centres": ["dc9"]},
            "two": {"key_hash": ")" + hash + R"(", "share": 0.6, "services": ["nowhere"]},
            "three": {"key_hash": "AB"}
        },
        "services": {"a/b": {
            "routes": {"book": {"idempotent": false}, "slow": {"deadline_ms": 0}},
            "snapshots": {"s1": {"shards": {"x": {"weight": 1}, "y": {}, "z": {"weight": -1}}}, "s2": {"shards": {}}},
            "current_snapshot": "s1",
            "replicas": {
                "r1": {"shard": "x", "address": "127.0.0.1:9000", "data_centre": "dc2", "version": "v1"},
                "r2": {"shard": "x", "address": "127.0.0.1:9000", "data_centre": "dc2", "version": "v1"},
                "r3": {"shard": "q", "address": "localhost:9000", "data_centre": "dc8", "version": ""},
                "r4": {"shard": "y", "address": "127.0.0.1:70000", "data_centre": "dc2", "version": "v1"}
            },
            "version": "v7",
            "rollout": {"number": 0, "from_version": "v1", "to_version": "v1", "start": 20, "deadline": 10},
            "colour": "red"
        }}
    })");
    const std::set<std::string> expected {
        "/recent_patch_ids",
        "/recent_patch_ids/1",
        "/tier/owners_per_replica",
        "/tier/hedge_budget",
        "/data_centres/dc 1",
        "/data_centres/dc2/region",
        "/data_centres/dc3/region",
        "/teams",
        "/teams/one/data_centres",
        "/teams/three/key_hash",
        "/teams/two/key_hash",
        "/teams/two/services",
        "/services/a~1b",
        "/services/a~1b/colour",
        "/services/a~1b/routes/book/fan_out",
        "/services/a~1b/routes/slow/deadline_ms",
        "/services/a~1b/snapshots/s1/shards/z",
        "/services/a~1b/snapshots/s1/shards/z/weight",
        "/services/a~1b/snapshots/s2/shards",
        "/services/a~1b/replicas/r2/address",
        "/services/a~1b/replicas/r3/shard",
        "/services/a~1b/replicas/r3/address",
        "/services/a~1b/replicas/r3/data_centre",
        "/services/a~1b/replicas/r3/version",
        "/services/a~1b/replicas/r4/address",
        "/services/a~1b/version",
        "/services/a~1b/rollout",
        "/services/a~1b/rollout/number",
        "/services/a~1b/rollout/to_version",
        "/services/a~1b/rollout/deadline",
    };
    EXPECT_EQ(pathsOf(parsed.findings), expected);
}

TEST(Validate, RejectsLowerRolloutNumberAndResumptionOfTakenBackRollout)
{
    const std::string service = R"({"snapshots":{"i":{"shards":{"x":{}}}},"current_snapshot":"i","version":"v1",
        "replicas":{"r1":{"shard":"x","address":"127.0.0.1:1","data_centre":"d","version":"v1"},
                    "r2":{"shard":"x","address":"127.0.0.1:2","data_centre":"d","version":"v2"}},
        "rollout":{"number":5,"from_version":"v1","to_version":"v2","start":1,"deadline":2,"taken_back":true}})";
    const auto first = Configuration::applyPatch(
        "", {0, "0-a", R"({"data_centres":{"d":{"region":"r"}},"services":{"s":)" + service + "}}"});
    ASSERT_EQ(first.verdict, patch_verdict::Applied);
    const auto rejectedPath = [&](const std::string &rollout) {
        const auto outcome =
            Configuration::applyPatch(first.text, {1, "1-a", R"({"services":{"s":{"rollout":)" + rollout + "}}}"});
        EXPECT_EQ(outcome.verdict, patch_verdict::Invalid) << rollout;
        return outcome.findings.empty() ? "" : outcome.findings.front().path;
    };
    EXPECT_EQ(rejectedPath(R"({"number":4})"), "/services/s/rollout/number");
    EXPECT_EQ(rejectedPath(R"({"taken_back":false})"), "/services/s/rollout/taken_back");
    const auto next = Configuration::applyPatch(
        first.text, {1, "1-b", R"({"services":{"s":{"rollout":{"number":6,"taken_back":false}}}})"});
    ASSERT_EQ(next.verdict, patch_verdict::Applied);
}

TEST(Validate, RejectsRemovalOfRunningRolloutAndReuseOfItsNumber)
{
    const std::string service = R"({"snapshots":{"i":{"shards":{"x":{}}}},"current_snapshot":"i","version":"v1",
        "replicas":{"r1":{"shard":"x","address":"127.0.0.1:1","data_centre":"d","version":"v1"},
                    "r2":{"shard":"x","address":"127.0.0.1:2","data_centre":"d","version":"v2"}},
        "rollout":{"number":6,"from_version":"v1","to_version":"v2","start":1,"deadline":2}})";
    const auto first = Configuration::applyPatch(
        "", {0, "0-a", R"({"data_centres":{"d":{"region":"r"}},"services":{"s":)" + service + "}}"});
    const auto patchService = [](const std::string &text, std::uint64_t base, const std::string &members) {
        const std::string patch = R"({"services":{"s":{)" + members + "}}}";
        return Configuration::applyPatch(text, {base, std::to_string(base) + "-r", patch});
    };
    EXPECT_EQ(patchService(first.text, 1, R"("rollout":null)").verdict, patch_verdict::Invalid) << "it has not ended";
    const std::string next = R"("rollout":{"number":7,"from_version":"v1","to_version":"v2","start":1,"deadline":2})";
    EXPECT_EQ(patchService(first.text, 1, next).verdict, patch_verdict::Invalid) << "it has not ended";
    const auto done = patchService(first.text, 1, R"("version":"v2","rollout":null)");
    ASSERT_EQ(done.verdict, patch_verdict::Applied);
    const std::string again = R"("rollout":{"number":6,"from_version":"v2","to_version":"v1","start":1,"deadline":2})";
    EXPECT_EQ(patchService(done.text, 2, again).verdict, patch_verdict::Invalid) << "the number is already used";
    EXPECT_EQ(Configuration::reportChange(1, done.document, {{"a", 2}}).state, Configuration::change_state::Done);
}

TEST(Validate, DocumentOfTargetSizeFitsStoreLimit)
{
    const std::string text = Configuration::serializeDocument(Bench::targetSizeDocument(4600, 520));
    EXPECT_LE(text.size(), Configuration::maximumDocumentBytes);
    const auto parsed = Configuration::parseDocument(text);
    EXPECT_TRUE(parsed.findings.empty()) << parsed.findings.front().path << ": " << parsed.findings.front().message;
    std::cout << "document of 4600 replicas over 520 shards: " << text.size() << " bytes\n";
    const auto changed = Configuration::applyPatch(text, {700, "700-a", R"({"tier":{"hedge_budget":0.04}})"});
    EXPECT_EQ(changed.verdict, patch_verdict::Applied);
}

TEST(Validate, SamplesAreValid)
{
    int samples = 0;
    for (const auto &entry : std::filesystem::directory_iterator(RAGWORTCRANK_SAMPLES)) {
        std::ifstream file(entry.path());
        const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        for (const Core::finding &finding : Configuration::parseDocument(text).findings) {
            ADD_FAILURE() << entry.path() << " " << finding.path << ": " << finding.message;
        }
        ++samples;
    }
    EXPECT_GE(samples, 1);
}
