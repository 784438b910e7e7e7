#include "LibBackend/ExtraLoadBudget.h"
#include "LibBackend/TakeWarmUpRequest.h"
#include "ServiceFixture.h"

namespace
{
/// "a1" is cold and this daemon runs its slow start; "a2" is warm.
struct warm_up_request : service_fixture {
    void SetUp() override
    {
        service_fixture::SetUp();
        Backend::importSlowStart(service, {{"a2", 0, 0, "i1", Backend::completedSlowStartLevel}}, now);
        setRankForA1(0);
        completeHandover();
        Backend::earnTokens(service.extraLoad, 10000);
    }

    std::optional<std::size_t> take(const Backend::replica_filter &filter = {"a", "", nullptr, {}})
    {
        return Backend::takeWarmUpRequest(service, filter, now);
    }
};
} // namespace

TEST_F(warm_up_request, KeepsOneRequestInFlightWhenReplicaIsCold)
{
    const auto taken = take();
    ASSERT_TRUE(taken);
    EXPECT_EQ(service.replicas[*taken].name, "a1");
    EXPECT_EQ(replica("a1").inFlight, 1U);
    EXPECT_FALSE(take()) << "the limit is one request";
    Backend::recordResponse(service, *taken, {"i1", 0.5, true, false}, std::chrono::milliseconds(5), now);
    EXPECT_TRUE(take());
}

TEST_F(warm_up_request, SendsNoneWhenNotOwnerOrDuringHandover)
{
    setRankForA1(1);
    EXPECT_FALSE(take());
    setRankForA1(0);
    EXPECT_FALSE(take());
}

TEST_F(warm_up_request, KeepsReservedTokensWhenBudgetRunsLow)
{
    std::uint32_t copies = 0;
    while (const auto taken = take()) {
        Backend::recordResponse(service, *taken, {"i1", 0.5, true, false}, std::chrono::milliseconds(5), now);
        ++copies;
    }
    EXPECT_GT(copies, 0U);
    EXPECT_GE(service.extraLoad.tokens, 50.0);
}

TEST_F(warm_up_request, SendsNoneWhenOriginalRequestMayNotUseReplica)
{
    const std::set<std::string> other {"dc2"};
    EXPECT_FALSE(take({"a", "", &other, {}})) << "the team may not use that data centre";
    EXPECT_FALSE(take({"a", "v2", nullptr, {}})) << "the query runs on another version";
    respond("a1", {"i1", 0.5, true, true});
    EXPECT_FALSE(take()) << "the replica is leaving";
}
