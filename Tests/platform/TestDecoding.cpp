#include "SampleSettings.h"

#include "platform/DecodeConfiguration.h"
#include "platform/DecodeReplica.h"
#include "platform/Directory.h"
#include "platform/ReadSettings.h"
#include "platform/StorePage.h"

#include "LibForward/RouteTable.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace std::chrono_literals;

TEST(Settings, ReadsAllMembers)
{
    std::vector<Core::finding> findings;
    const auto settings = Platform::readSettings(sampleSettings, findings);
    ASSERT_TRUE(settings);
    EXPECT_TRUE(findings.empty());
    EXPECT_EQ(settings->region(), "r1");
    EXPECT_EQ(settings->peerPort, 7740);
    EXPECT_EQ(settings->stopGrace, 6s);
    EXPECT_EQ(settings->retryLimits.window, 10s);
    EXPECT_EQ(settings->seedAddresses.size(), 2U);
}

TEST(Settings, ReportsEveryFaultWithItsPath)
{
    std::vector<Core::finding> findings;
    EXPECT_FALSE(Platform::readSettings(R"({"node-name": 3, "listen-addrs": {"front": "nonsense"}})", findings));
    const auto names = [&](const std::string &path) {
        return std::any_of(findings.begin(), findings.end(),
                           [&](const Core::finding &finding) { return finding.path == path; });
    };
    for (const char *path : {"/node-name", "/zone", "/listen-addrs/front", "/listen-addrs/readiness", "/port-range",
                             "/platform/address", "/bounds/grace-s"}) {
        EXPECT_TRUE(names(path)) << path;
    }
}

TEST(Settings, ReportsInvalidJson)
{
    std::vector<Core::finding> findings;
    EXPECT_FALSE(Platform::readSettings("{", findings));
    EXPECT_EQ(findings.size(), 1U);
}

TEST(Configuration, ReadsRoutesServicesAndLimits)
{
    std::vector<Core::finding> findings;
    const auto configuration = Platform::decodeConfiguration(R"({
      "version": 7,
      "routes": [
        {"name": "g", "host": "h.example", "path-prefix": "/g/", "route-type": "idempotent", "timeout-ms": 800,
         "target-latency-ms": 80, "priority": 2, "gather": ["a", "b"], "attempts": 2, "top-k": 5, "min-coverage": 0.75,
         "allowed-regions": []},
        {"name": "s", "host": "h.example", "path-prefix": "/s/", "route-type": "non_idempotent", "timeout-ms": 4000,
         "target-latency-ms": 400, "priority": 2, "attempts": 1, "allowed-regions": ["r1"],
         "traffic-split": [{"backend": "a", "weight": 1}, {"backend": "b", "weight": 3}]}],
      "services": [{"name": "a", "health-path": "/health", "max-conns": 26, "warmup-s": 3.0, "warmup-per-s": 4.5}],
      "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    })",
                                                             findings);
    ASSERT_TRUE(configuration);
    EXPECT_TRUE(findings.empty());
    EXPECT_EQ(configuration->version, 7U);
    ASSERT_EQ(configuration->routes.size(), 2U);
    EXPECT_TRUE(configuration->routes[0].isScatterGather());
    EXPECT_EQ(configuration->routes[0].retryPolicy, Forward::retry_policy::Idempotent);
    EXPECT_EQ(configuration->routes[1].retryPolicy, Forward::retry_policy::AtMostOnce);
    EXPECT_EQ(configuration->routes[1].services.size(), 2U);
    EXPECT_EQ(configuration->routes[1].services[1].weight, 3.0);
    EXPECT_EQ(configuration->services.at("a").coldRequestsPerSecond, 4.5);
    EXPECT_EQ(configuration->limits.idleTimeout, 15s);
    EXPECT_EQ(Forward::findRoute(*configuration, "h.example", "/s/1")->name, "s");
}

TEST(Configuration, InvalidRouteIsSkippedAndReported)
{
    std::vector<Core::finding> findings;
    const auto configuration = Platform::decodeConfiguration(R"({
      "version": 8, "services": [],
      "routes": [{"name": "x", "host": 5},
                 {"name": "s", "host": "h", "path-prefix": "/", "route-type": "idempotent", "timeout-ms": 1, "backend": "b"}]
    })",
                                                             findings);
    ASSERT_TRUE(configuration);
    EXPECT_EQ(configuration->routes.size(), 1U);
    EXPECT_FALSE(findings.empty());
    EXPECT_EQ(findings.front().path, "/routes/0/host");
}

TEST(Configuration, ContentWithoutVersionIsRejected)
{
    std::vector<Core::finding> findings;
    EXPECT_FALSE(Platform::decodeConfiguration(R"({"routes": []})", findings));
    EXPECT_FALSE(Platform::decodeConfiguration("not json", findings));
}

namespace
{
constexpr const char *validReplica = R"({"backend": "a", "address": "127.0.0.1:80", "zone": "z1", "version": "v1",
  "max-concurrency": 2, "state": "draining", "warmup-left-ms": 1500, "sequence": 4, "born": 1700000000000})";
}

TEST(Replica, ValidEntryIsDecoded)
{
    std::vector<Core::finding> findings;
    const auto entry = Platform::decodeReplica("i-1", validReplica, findings);
    ASSERT_TRUE(entry);
    EXPECT_TRUE(entry->draining);
    EXPECT_EQ(entry->remainingSlowStart, 1500ms);
    EXPECT_EQ(entry->startedAt, 1700000000000);
}

/// Another process may write an invalid registration. Each invalid member must make the registration be rejected.
TEST(Replica, InvalidEntryIsRejected)
{
    const std::string valid(validReplica);
    const std::pair<const char *, const char *> replacements[] = {
        {R"("draining")", R"("asleep")"},
        {R"("127.0.0.1:80")", R"("nowhere")"},
        {R"("max-concurrency": 2)", R"("max-concurrency": "2")"},
        {"1700000000000", "17.5"},
        {R"("zone": "z1")", R"("zone": null)"},
        {R"("backend": "a")", R"("backend": 7)"},
        {R"("warmup-left-ms")", R"("other")"},
    };
    for (const auto &[before, after] : replacements) {
        std::string corrupted = valid;
        const std::size_t place = corrupted.find(before);
        ASSERT_NE(place, std::string::npos) << before;
        corrupted.replace(place, std::string(before).size(), after);
        std::vector<Core::finding> findings;
        EXPECT_FALSE(Platform::decodeReplica("i-1", corrupted, findings)) << after;
        EXPECT_FALSE(findings.empty()) << after;
    }
    std::vector<Core::finding> findings;
    EXPECT_FALSE(Platform::decodeReplica("i-1", "\xff\xfe", findings));
}

TEST(StorePage, DecodesListAndEvents)
{
    const auto list = Platform::decodePage(
        R"({"items": [{"meta": {"name": "a", "revision": 4}, "spec": {"x": 1}, "status": null}, "rubbish"],
            "has-more": true, "store-revision": 9})");
    ASSERT_TRUE(list);
    EXPECT_TRUE(list->hasMore);
    EXPECT_EQ(list->revision, 9U);
    ASSERT_EQ(list->events.size(), 1U);
    EXPECT_EQ(list->events[0].object.revision, 4U);
    const auto watch = Platform::decodePage(
        R"({"events": [{"object": {"meta": {"name": "a", "revision": 4}}, "deleted": true}], "store-revision": 10})");
    ASSERT_TRUE(watch);
    EXPECT_TRUE(watch->events.at(0).deleted);
    EXPECT_FALSE(Platform::decodePage("[]"));
    EXPECT_FALSE(Platform::decodePage("{}"));
}

TEST(Directory, FindsQueryParameter)
{
    EXPECT_EQ(Platform::queryValue("/p?name=a&zone=z1&region=r", "zone"), "z1");
    EXPECT_EQ(Platform::queryValue("/p?zones=no&zone=z2", "zone"), "z2");
    EXPECT_EQ(Platform::queryValue("/p", "zone"), "");
}
