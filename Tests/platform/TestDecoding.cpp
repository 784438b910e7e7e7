#include "SampleSettings.h"

#include "platform/DecodeConfiguration.h"
#include "platform/DecodeReplica.h"
#include "platform/Directory.h"
#include "platform/ReadSettings.h"
#include "platform/StoreCall.h"
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

/// Times beyond the range of the clock overflowed, with a result that depends on the machine.
TEST(Replica, HugeTimesAreReduced)
{
    for (const std::string time : {"1e300", "9223372036854775807", "18446744073709551615"}) {
        std::string huge(validReplica);
        huge.replace(huge.find("1500"), 4, time);
        std::vector<Core::finding> findings;
        const auto entry = Platform::decodeReplica("i-1", huge, findings);
        ASSERT_TRUE(entry) << time;
        EXPECT_GT(entry->remainingSlowStart, std::chrono::hours(24 * 365)) << time;
        const Core::time_point now = std::chrono::steady_clock::now();
        EXPECT_GT(now + entry->remainingSlowStart, now) << time;
    }
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
        {"127.0.0.1:80", "127.0.0.1:0"},
        {"127.0.0.1:80", "127.0.0.1:99999"},
        {"127.0.0.1:80", "127.0.0.1:-1"},
        {R"("max-concurrency": 2)", R"("max-concurrency": 0)"},
        {R"("max-concurrency": 2)", R"("max-concurrency": 4294967296)"},
        {R"("max-concurrency": 2)", R"("max-concurrency": 18446744073709551616)"},
        {R"("max-concurrency": 2)", R"("max-concurrency": 1e300)"},
        {R"("max-concurrency": 2)", R"("max-concurrency": [2])"},
        {"1700000000000", "1e300"},
        {"1700000000000", "-1e300"},
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

namespace
{
constexpr std::size_t specLimit = 1000;

/// A page of the list of replicas with one entry of another writer between two good ones.
std::string pageWith(const std::string &odd)
{
    const auto good = [](const std::string &name) {
        return R"({"meta": {"name": ")" + name + R"(", "revision": 4}, "spec": {"x": 1}})";
    };
    return R"({"items": [)" + good("a") + ", " + odd + ", " + good("z")
        + R"(], "has-more": false, "store-revision": 9})";
}

std::string nested(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
}
} // namespace

TEST(StorePage, DecodesListAndEvents)
{
    const auto list = Platform::decodePage(
        R"({"items": [{"meta": {"name": "a", "revision": 4}, "spec": {"x": 1}, "status": null}, "rubbish"],
            "has-more": true, "store-revision": 9})",
        specLimit);
    ASSERT_TRUE(list);
    EXPECT_TRUE(list->hasMore);
    EXPECT_EQ(list->revision, 9U);
    ASSERT_EQ(list->events.size(), 1U);
    EXPECT_EQ(list->events[0].object.revision, 4U);
    const auto watch = Platform::decodePage(
        R"({"events": [{"object": {"meta": {"name": "a", "revision": 4}}, "deleted": true}], "store-revision": 10})",
        specLimit);
    ASSERT_TRUE(watch);
    EXPECT_TRUE(watch->events.at(0).deleted);
    EXPECT_FALSE(Platform::decodePage("[]", specLimit));
    EXPECT_FALSE(Platform::decodePage("{}", specLimit));
}

/// One entry that could not be decoded made the whole page unreadable: no daemon learned of replicas any more, and none
/// that started became ready.
TEST(StorePage, EntryThatCannotBeDecodedLeavesTheOthersReadable)
{
    const std::string contents[] = {
        "\"\xff\xfe\"",
        R"("\udcff")",
        nested(41),
        nested(100'000),
        "1e999",
        R"({"a": tru})",
        R"("a \" } ] quoted")",
        "null",
        "[1, 2]",
        "{}",
        "7",
        R"("\q")",
    };
    for (const std::string &content : contents) {
        const auto page = Platform::decodePage(
            pageWith(R"({"meta": {"name": "odd", "revision": 5}, "spec": {"address": )" + content + "}}"), specLimit);
        ASSERT_TRUE(page) << content.substr(0, 40);
        ASSERT_EQ(page->events.size(), 3U) << content.substr(0, 40);
        EXPECT_EQ(page->events[0].object.name, "a");
        EXPECT_EQ(page->events[1].object.name, "odd");
        EXPECT_EQ(page->events[2].object.spec, R"({"x":1})");
    }
}

/// An object of another writer may lack what every object has. It cannot be addressed, and is left out.
TEST(StorePage, EntryWithoutAUsableNameIsLeftOut)
{
    const std::string objects[] = {
        "7",
        "null",
        "[]",
        R"({"spec": {}})",
        R"({"meta": 7, "spec": {}})",
        R"({"meta": {"name": 7}})",
        R"({"meta": {"name": ""}})",
        "{\"meta\": {\"name\": \"\xff\"}}",
        R"({"meta": {"name": "\udcff"}})",
        R"({"meta": )" + nested(100'000) + "}",
    };
    for (const std::string &object : objects) {
        const auto page = Platform::decodePage(pageWith(object), specLimit);
        ASSERT_TRUE(page) << object.substr(0, 40);
        EXPECT_EQ(page->events.size(), 2U) << object.substr(0, 40);
        EXPECT_EQ(page->unreadableEntries, 1U) << object.substr(0, 40);
    }
}

TEST(StorePage, RevisionThatIsNoNumberCountsAsZero)
{
    for (const std::string revision : {"null", "\"5\"", "-1", "1e300", "18446744073709551616", "[]"}) {
        const auto page =
            Platform::decodePage(pageWith(R"({"meta": {"name": "odd", "revision": )" + revision + "}}"), specLimit);
        ASSERT_TRUE(page) << revision;
        ASSERT_EQ(page->events.size(), 3U) << revision;
        EXPECT_EQ(page->events[1].object.revision, 0U) << revision;
    }
}

/// Entries of another writer may be as large as the store allows. All daemons keep and relay the entries.
TEST(StorePage, ContentBeyondTheLimitIsNotKept)
{
    const auto page = Platform::decodePage(
        pageWith(R"({"meta": {"name": "odd"}, "spec": {"x": ")" + std::string(specLimit, 'x') + R"("}})"), specLimit);
    ASSERT_TRUE(page);
    ASSERT_EQ(page->events.size(), 3U);
    EXPECT_EQ(page->events[1].object.spec, "");
}

/// A response that was cut off must not pass for a shorter list.
TEST(StorePage, PageThatIsCutOffAnywhereIsMalformed)
{
    const std::string page = pageWith(R"({"meta": {"name": "odd"}, "spec": {}})");
    for (std::size_t size = 0; size < page.size(); ++size) {
        EXPECT_FALSE(Platform::decodePage(page.substr(0, size), specLimit)) << size;
    }
}

TEST(StoreCall, NamesOfOtherWritersAreEncodedInTargets)
{
    EXPECT_EQ(Platform::percentEncoded("front-a_1.x~"), "front-a_1.x~");
    EXPECT_EQ(Platform::percentEncoded("a b/?&%\r\n\xc3\xa9"), "a%20b%2F%3F%26%25%0D%0A%C3%A9");
}

TEST(Directory, FindsQueryParameter)
{
    EXPECT_EQ(Platform::queryValue("/p?name=a&zone=z1&region=r", "zone"), "z1");
    EXPECT_EQ(Platform::queryValue("/p?zones=no&zone=z2", "zone"), "z2");
    EXPECT_EQ(Platform::queryValue("/p", "zone"), "");
}
