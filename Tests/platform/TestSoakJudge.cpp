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
    void send(const std::string &id, route_kind kind)
    {
        Soak::sent_request request;
        request.kind = kind;
        request.method = "GET";
        request.path = "/" + id;
        request.sentAt = std::chrono::steady_clock::now();
        request.configuration = 5;
        m_judge.noteSent(id, request);
    }

    void arrive(const std::string &id, const std::string &service, const std::string &path = "")
    {
        m_judge.noteArrival(id, service + "-0", service, "z1", "GET", path.empty() ? "/" + id : path, "");
        m_judge.noteRun(id, service);
    }

    std::size_t found(const std::string &rule) const
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
    send("r", route_kind::Gather);
    m_judge.notePart("r", "d0", {"s0", record('b') + record('d')});
    m_judge.notePart("r", "d1", {"s1", record('c') + "rest"});
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0, d1"}}, record('d') + record('c') + record('b')});
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0"}, {"missing-shards", "1"}}, record('d') + record('b')});
    EXPECT_EQ(found("mixed"), 0U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0, d1"}}, record('d') + record('b') + record('c')});
    EXPECT_EQ(found("mixed"), 1U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0"}}, record('d') + record('b')});
    EXPECT_EQ(found("mixed"), 2U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0, d2"}}, ""});
    EXPECT_EQ(found("mixed"), 3U);
}

TEST_F(soak_judge_test, PartsOfFailedOrOtherRequestsAreNotAccepted)
{
    send("r", route_kind::Gather);
    send("other", route_kind::Single);
    m_judge.notePart("r", "d0", {"s0", record('b'), true});
    m_judge.notePart("other", "d1", {"s1", record('c')});
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d0"}, {"missing-shards", "1"}}, record('b')});
    EXPECT_EQ(found("mixed"), 1U);
    m_judge.noteAnswer("r", {200, {{"shard-stamps", "d1"}, {"missing-shards", "1"}}, record('c')});
    EXPECT_EQ(found("mixed"), 2U);
    m_judge.noteAnswer("other", {200, {{"server-stamp", "d1"}}, record('c')});
    EXPECT_EQ(found("mixed"), 2U);
    m_judge.noteAnswer("other", {200, {{"server-stamp", "d1"}}, "cut"});
    EXPECT_EQ(found("mixed"), 3U);
}

TEST_F(soak_judge_test, ReportsExecutedRefusalsAndSecondExecutions)
{
    send("allowed", route_kind::Once);
    m_judge.noteAnswer("allowed", {503, {}, ""});
    send("idempotent", route_kind::Single);
    arrive("idempotent", "s0");
    m_judge.noteAnswer("idempotent", {503, {}, ""});
    EXPECT_EQ(found("refused"), 0U);
    send("lie", route_kind::Once);
    arrive("lie", "s0");
    m_judge.noteAnswer("lie", {503, {}, ""});
    EXPECT_EQ(found("refused"), 1U);
    arrive("allowed", "s0");
    EXPECT_EQ(found("refused"), 2U);
    EXPECT_EQ(found("twice"), 0U);
    arrive("lie", "s1");
    arrive("lie", "s1");
    EXPECT_EQ(found("twice"), 1U);
}

TEST_F(soak_judge_test, ReportsUnsentAndChangedRequests)
{
    arrive("nobody", "s0");
    EXPECT_EQ(found("unasked"), 1U);
    send("r", route_kind::Single);
    arrive("r", "s0");
    EXPECT_EQ(found("unasked"), 1U);
    arrive("r", "s0", "/elsewhere");
    EXPECT_EQ(found("unasked"), 2U);
    EXPECT_EQ(found("attempts"), 0U);
    arrive("r", "s0");
    EXPECT_EQ(found("attempts"), 1U);
}

TEST_F(soak_judge_test, ReportsRetriesBeyondBudget)
{
    const auto allowed = static_cast<int>(Soak::repeatSlack);
    for (int request = 0; request < allowed; ++request) {
        const std::string id = "r" + std::to_string(request);
        send(id, route_kind::Single);
        arrive(id, "s0");
        arrive(id, "s0");
    }
    EXPECT_EQ(found("repeats"), 0U);
    for (int request = 0; request < allowed; ++request) {
        arrive("r" + std::to_string(request), "s0");
    }
    EXPECT_GT(found("repeats"), 0U);
}

TEST_F(soak_judge_test, ReportsClientErrorForValidRequest)
{
    send("r", route_kind::Single);
    m_judge.noteAnswer("r", {503, {}, ""});
    m_judge.noteAnswer("r", {504, {}, ""});
    EXPECT_EQ(found("denied"), 0U);
    m_judge.noteAnswer("r", {404, {}, ""});
    EXPECT_EQ(found("denied"), 1U);
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
    send("r", route_kind::Single);
    m_judge.noteCut("r", true);
    EXPECT_EQ(found("lost"), 0U) << "a request that reached no replica must not count as lost";
    arrive("r", "s0");
    m_judge.noteCut("r", false);
    EXPECT_EQ(found("lost"), 0U);
    m_judge.noteCut("r", true);
    EXPECT_EQ(found("lost"), 1U);
    m_judge.noteLate("r");
    EXPECT_EQ(found("late"), 1U);
}

TEST_F(soak_judge_test, ReportsServiceOfVersionThatIsNotInForce)
{
    m_judge.noteConfiguration(4, "s0");
    m_judge.noteConfiguration(5, "s1");
    send("r", route_kind::Moving);
    arrive("r", "s0");
    arrive("r", "s1");
    EXPECT_EQ(found("configuration"), 0U);
    arrive("r", "s2");
    EXPECT_EQ(found("configuration"), 1U);
}

TEST_F(soak_judge_test, ReportsUnservedRequestsAfterRecovery)
{
    m_judge.beginRecoveryCheck();
    send("left", route_kind::Single);
    m_judge.noteLeft("left");
    send("r", route_kind::Single);
    m_judge.noteAnswer("r", {503, {}, ""});
    m_judge.finish();
    EXPECT_EQ(found("recovery"), 1U);
}
