#include "Soak/Bounds.h"
#include "Soak/CallerAnswer.h"
#include "Soak/Judge.h"

#include <gtest/gtest.h>

#include <algorithm>

using Soak::caller_answer;
using Soak::route_kind;

namespace
{
/// Each test violates one invariant and expects the finding for it, next to cases that are permitted.
class soak_judge_test : public testing::Test
{
protected:
    void recordSent(const std::string &id, route_kind kind)
    {
        Soak::sent_request request;
        request.kind = kind;
        request.method = "GET";
        request.path = "/" + id;
        request.sentAt = std::chrono::steady_clock::now();
        request.configuration = 5;
        m_judge.noteSent(id, request);
    }

    void recordArrival(const std::string &id, const std::string &service, const std::string &path = "")
    {
        m_judge.noteArrival(id, service + "-0", service, "z1", "GET", path.empty() ? "/" + id : path, "");
        m_judge.noteRun(id, service);
    }

    std::size_t countFindings(const std::string &rule) const
    {
        const auto &findings = m_judge.findings();
        return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(),
                                                      [&](const Soak::finding &one) { return one.rule == rule; }));
    }

    static std::string record(char lead)
    {
        return std::string(1, lead) + std::string(15, '.');
    }

    Soak::judge m_judge {{"s0", "s1"}};
};
} // namespace

TEST_F(soak_judge_test, GatheredResponseMustContainHighestRecordsOfItsParts)
{
    recordSent("r", route_kind::Gather);
    m_judge.notePart("r", "d0", {"s0", record('b') + record('d')});
    m_judge.notePart("r", "d1", {"s1", record('c') + "rest"});
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0, d1"}}, record('d') + record('c') + record('b')});
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0"}, {"missing-shards", "1"}}, record('d') + record('b')});
    EXPECT_EQ(countFindings("mixed"), 0U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0, d1"}}, record('d') + record('b') + record('c')});
    EXPECT_EQ(countFindings("mixed"), 1U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0"}}, record('d') + record('b')});
    EXPECT_EQ(countFindings("mixed"), 2U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0, d2"}}, ""});
    EXPECT_EQ(countFindings("mixed"), 3U);
}

TEST_F(soak_judge_test, PartsOfFailedOrOtherRequestsAreNotAccepted)
{
    recordSent("r", route_kind::Gather);
    recordSent("other", route_kind::Single);
    m_judge.notePart("r", "d0", {"s0", record('b'), true});
    m_judge.notePart("other", "d1", {"s1", record('c')});
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0"}, {"missing-shards", "1"}}, record('b')});
    EXPECT_EQ(countFindings("mixed"), 1U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d1"}, {"missing-shards", "1"}}, record('c')});
    EXPECT_EQ(countFindings("mixed"), 2U);
    m_judge.noteAnswer("other", {200, {{"server-stamp", "d1"}}, record('c')});
    EXPECT_EQ(countFindings("mixed"), 2U);
    m_judge.noteAnswer("other", {200, {{"server-stamp", "d1"}}, "cut"});
    EXPECT_EQ(countFindings("mixed"), 3U);
}

TEST_F(soak_judge_test, ReportsExecutedRefusalsAndSecondExecutions)
{
    recordSent("allowed", route_kind::Once);
    m_judge.noteAnswer("allowed", {503, {}, ""});
    recordSent("idempotent", route_kind::Single);
    recordArrival("idempotent", "s0");
    m_judge.noteAnswer("idempotent", {503, {}, ""});
    EXPECT_EQ(countFindings("refused"), 0U);
    recordSent("lie", route_kind::Once);
    recordArrival("lie", "s0");
    m_judge.noteAnswer("lie", {503, {}, ""});
    EXPECT_EQ(countFindings("refused"), 1U);
    recordArrival("allowed", "s0");
    EXPECT_EQ(countFindings("refused"), 2U);
    EXPECT_EQ(countFindings("twice"), 0U);
    recordArrival("lie", "s1");
    recordArrival("lie", "s1");
    EXPECT_EQ(countFindings("twice"), 1U);
}

TEST_F(soak_judge_test, ReportsUnsentAndChangedRequests)
{
    recordArrival("nobody", "s0");
    EXPECT_EQ(countFindings("unasked"), 1U);
    recordSent("r", route_kind::Single);
    recordArrival("r", "s0");
    EXPECT_EQ(countFindings("unasked"), 1U);
    recordArrival("r", "s0", "/elsewhere");
    EXPECT_EQ(countFindings("unasked"), 2U);
    EXPECT_EQ(countFindings("attempts"), 0U);
    recordArrival("r", "s0");
    EXPECT_EQ(countFindings("attempts"), 1U);
}

TEST_F(soak_judge_test, ReportsRetriesBeyondBudget)
{
    const auto allowed = static_cast<int>(Soak::repeatSlack);
    for (int request = 0; request < allowed; ++request) {
        const std::string id = "r" + std::to_string(request);
        recordSent(id, route_kind::Single);
        recordArrival(id, "s0");
        recordArrival(id, "s0");
    }
    EXPECT_EQ(countFindings("repeats"), 0U);
    for (int request = 0; request < allowed; ++request) {
        recordArrival("r" + std::to_string(request), "s0");
    }
    EXPECT_GT(countFindings("repeats"), 0U);
}

/// Requests that leave a shard out count for its service as well: 100 of them allow 0.2 x 100 + 58 = 78 repeats.
TEST_F(soak_judge_test, RepeatsAreHeldAgainstRequestsSentWhetherTheyArrivedOrNot)
{
    for (int request = 0; request < 100; ++request) {
        recordSent("r" + std::to_string(request), route_kind::Gather);
    }
    recordArrival("r0", "s0");
    for (int repeat = 0; repeat < 78; ++repeat) {
        m_judge.noteArrival("r0", "s0-0", "s0", "z1", "GET", "/r0", "");
    }
    EXPECT_EQ(countFindings("repeats"), 0U);
    m_judge.noteArrival("r0", "s0-0", "s0", "z1", "GET", "/r0", "");
    EXPECT_EQ(countFindings("repeats"), 1U);
}

TEST_F(soak_judge_test, ReportsClientErrorForValidRequest)
{
    recordSent("r", route_kind::Single);
    m_judge.noteAnswer("r", {503, {}, ""});
    m_judge.noteAnswer("r", {504, {}, ""});
    EXPECT_EQ(countFindings("denied"), 0U);
    m_judge.noteAnswer("r", {404, {}, ""});
    EXPECT_EQ(countFindings("denied"), 1U);
}

TEST_F(soak_judge_test, TimeBoundsApplyOnlyWithoutFaults)
{
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(m_judge.isCalmSince(begin));
    m_judge.noteTrouble("");
    EXPECT_FALSE(m_judge.isCalmSince(begin));
    EXPECT_FALSE(m_judge.isCalmSince(begin + Soak::stability / 2));
    EXPECT_TRUE(m_judge.isCalmSince(begin + 2 * Soak::stability));
}

TEST_F(soak_judge_test, ReportsRequestsCutByPlannedStopAndLateResponses)
{
    recordSent("r", route_kind::Single);
    m_judge.noteCut("r", true);
    EXPECT_EQ(countFindings("lost"), 0U) << "a request that reached no replica must not count as lost";
    recordArrival("r", "s0");
    m_judge.noteCut("r", false);
    EXPECT_EQ(countFindings("lost"), 0U);
    m_judge.noteCut("r", true);
    EXPECT_EQ(countFindings("lost"), 1U);
    m_judge.noteLate("r");
    EXPECT_EQ(countFindings("late"), 1U);
}

TEST_F(soak_judge_test, ReportsServiceOfVersionThatIsNotInForce)
{
    m_judge.noteConfiguration(4, "s0");
    m_judge.noteConfiguration(5, "s1");
    recordSent("r", route_kind::Moving);
    recordArrival("r", "s0");
    recordArrival("r", "s1");
    EXPECT_EQ(countFindings("configuration"), 0U);
    recordArrival("r", "s2");
    EXPECT_EQ(countFindings("configuration"), 1U);
}

TEST_F(soak_judge_test, ReportsUnservedRequestsAfterRecovery)
{
    m_judge.beginRecoveryCheck();
    recordSent("left", route_kind::Single);
    m_judge.noteLeft("left");
    recordSent("r", route_kind::Single);
    m_judge.noteAnswer("r", {503, {}, ""});
    m_judge.finish();
    EXPECT_EQ(countFindings("recovery"), 1U);
}

/// The limit allows 1.5 x 4 requests a second x 4 s + 5 = 29 in a window.
TEST_F(soak_judge_test, ReportsRequestsBeyondAStatedLimit)
{
    const auto now = std::chrono::steady_clock::now();
    recordSent("r", route_kind::Gather);
    const auto arrive = [this](int count) {
        for (int request = 0; request < count; ++request) {
            m_judge.noteArrival("r", "s0-0", "s0", "z1", "GET", "/r", "");
        }
    };
    m_judge.noteRequestLimit("s0-0", 4.0, now - Soak::stability - std::chrono::seconds(1));
    arrive(29);
    EXPECT_EQ(countFindings("limit"), 0U);
    arrive(1);
    EXPECT_EQ(countFindings("limit"), 1U);
    m_judge.noteRequestLimit("s0-0", 0.0, {});
    arrive(40);
    m_judge.noteRequestLimit("s0-0", 4.0, now);
    arrive(40);
    EXPECT_EQ(countFindings("limit"), 1U) << "without a limit, and before it is binding";
}
