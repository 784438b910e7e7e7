#include "LibMembership/FeedPlan.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"

#include "LibConfiguration/ConfigurationDocument.h"

#include <gtest/gtest.h>

#include <set>

using namespace std::chrono_literals;

/// Which daemons read the store's updates for the others, by the size of the fleet and its VMs.
namespace
{
constexpr Core::time_point start {1h};

class feed_plan_test : public testing::Test
{
protected:
    feed_plan_test()
    {
        for (int index = 0; index < dataCentres; ++index) {
            m_document.dataCentres["dc-" + std::to_string(index)].region = "r-" + std::to_string(index / 2);
        }
    }

    static Membership::member_record record(int index, std::uint32_t capacity)
    {
        const std::string name = "vm-" + std::to_string(index);
        Membership::member_record result;
        result.name = name;
        result.incarnation = 1;
        result.peerAddress = name;
        result.dataCentre = "dc-" + std::to_string(index % dataCentres);
        result.capacity = capacity;
        return result;
    }

    /// The plan of one daemon in a fleet whose first `large` members have 0.5 cores, the others `capacity`.
    Membership::feed_plan planOf(int index, int daemons, int large, std::uint32_t capacity = 120)
    {
        Membership::member_table table =
            Membership::makeTable(record(index, index < large ? 500 : capacity), {}, start);
        for (int other = 0; other < daemons; ++other) {
            Membership::mergeRecord(table, record(other, other < large ? 500 : capacity), {}, start);
        }
        return Membership::planFeed(table, {}, m_document, start);
    }

    std::vector<int> watchersOf(int daemons, int large, std::uint32_t capacity = 120)
    {
        std::vector<int> watchers;
        for (int index = 0; index < daemons; ++index) {
            if (planOf(index, daemons, large, capacity).watchesStore) {
                watchers.push_back(index);
            }
        }
        return watchers;
    }

    static constexpr int dataCentres = 6;
    Configuration::configuration_document m_document;
};
} // namespace

TEST_F(feed_plan_test, LargeVirtualMachinesRelayToManyOthers)
{
    const std::vector<int> watchers = watchersOf(295, 18);
    EXPECT_EQ(watchers.size(), 6U);
    std::set<int> served;
    for (const int watcher : watchers) {
        EXPECT_LT(watcher, 18);
        served.insert(watcher % dataCentres);
    }
    EXPECT_EQ(served.size(), 6U) << "each data centre has a watcher of its own";
}

TEST_F(feed_plan_test, SmallOrUnknownVirtualMachinesRelayToFew)
{
    EXPECT_EQ(watchersOf(90, 0).size(), 6U);
    EXPECT_EQ(watchersOf(150, 0, 0).size(), 10U);
    EXPECT_EQ(watchersOf(9, 0).size(), 3U);
}

/// The store turns the watchers away. Those that replace them ask first, and the others look for them meanwhile.
TEST_F(feed_plan_test, DaemonsAskTheStoreOneAfterTheOtherWhenNoWatcherAnswers)
{
    std::size_t immediate = 0;
    std::size_t soon = 0;
    std::set<Core::duration> delays;
    for (int index = 0; index < 295; ++index) {
        const Membership::feed_plan plan = planOf(index, 295, 18);
        immediate += plan.storeFallbackDelay == 0ms ? 1 : 0;
        soon += plan.storeFallbackDelay <= 500ms ? 1 : 0;
        delays.insert(plan.storeFallbackDelay);
        EXPECT_GE(plan.sources.size(), 11U) << "six watchers and six substitutes, without itself";
    }
    EXPECT_EQ(immediate, 6U);
    EXPECT_EQ(soon, 12U);
    EXPECT_EQ(delays.size(), 2U + 283U);
}
