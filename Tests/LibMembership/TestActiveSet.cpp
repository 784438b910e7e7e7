#include "LibMembership/ActiveSet.h"
#include "LibMembership/ChooseEntries.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "LibMembership/Overload.h"
#include "LibMembership/OverloadState.h"

#include "LibConfiguration/ConfigurationDocument.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using namespace std::chrono_literals;
using Membership::member_record;
using Membership::member_table;

namespace
{
constexpr Core::time_point start {1h};
constexpr std::uint32_t small = 120;
constexpr std::uint32_t large = 500;

class active_set_test : public testing::Test
{
protected:
    active_set_test()
    {
        m_settings.minimumActiveMembers = 3;
        m_document.dataCentres = {{"n1", {"north", false}}, {"n2", {"north", false}}, {"s1", {"south", false}}};
    }

    static member_record record(const std::string &dataCentre, int index, std::uint32_t capacity)
    {
        const std::string name = dataCentre + "-" + std::to_string(index);
        member_record result;
        result.name = name;
        result.incarnation = 1;
        result.heartbeat = 1;
        result.callerAddress = name + ":80";
        result.peerAddress = name + ":81";
        result.dataCentre = dataCentre;
        result.capacity = capacity;
        return result;
    }

    /// The table of one daemon in a fleet of `perDataCentre` members in each data centre, `largeOnes` of them large.
    member_table tableOf(const std::string &dataCentre, int index, int perDataCentre, int largeOnes) const
    {
        member_table table;
        for (const char *each : {"n1", "n2", "s1"}) {
            for (int other = 0; other < perDataCentre; ++other) {
                const member_record member = record(each, other, other < largeOnes ? large : small);
                if (each == dataCentre && other == index) {
                    table.self = member;
                }
            }
        }
        table = Membership::makeTable(table.self, {}, start);
        for (const char *each : {"n1", "n2", "s1"}) {
            for (int other = 0; other < perDataCentre; ++other) {
                Membership::mergeRecord(table, record(each, other, other < largeOnes ? large : small), m_settings,
                                        start);
            }
        }
        return table;
    }

    std::vector<std::string> activeNames(const member_table &table, const std::string &dataCentre,
                                         Core::time_point now = start) const
    {
        std::vector<std::string> names;
        const auto active = Membership::activeMembers(table, m_settings, m_document, now);
        const auto found = active.find(dataCentre);
        if (found != active.end()) {
            for (const member_record *member : found->second) {
                names.push_back(member->name);
            }
        }
        return names;
    }

    /// Delivers a heartbeat message of `sender` to `receiver`.
    void deliverHeartbeat(member_table &sender, member_table &receiver, Core::time_point now)
    {
        const auto active = Membership::activeMembers(sender, m_settings, m_document, now);
        const auto message = Membership::makeHeartbeat(sender, m_settings, active, now);
        EXPECT_FALSE(Membership::onGossipReply(receiver, message, m_settings, now));
    }

    Membership::membership_settings m_settings;
    Configuration::configuration_document m_document;
};
} // namespace

TEST_F(active_set_test, IsTheSameAtEveryDaemon)
{
    const auto expected = activeNames(tableOf("n1", 0, 40, 0), "n2");
    ASSERT_EQ(expected.size(), 3U);
    for (const char *dataCentre : {"n1", "n2", "s1"}) {
        for (const int index : {1, 17, 39}) {
            EXPECT_EQ(activeNames(tableOf(dataCentre, index, 40, 0), "n2"), expected);
        }
    }
}

TEST_F(active_set_test, PrefersMembersWithTheLargestCapacity)
{
    const auto names = activeNames(tableOf("n1", 30, 40, 3), "n1");
    EXPECT_EQ(std::set<std::string>(names.begin(), names.end()), (std::set<std::string> {"n1-0", "n1-1", "n1-2"}));
    EXPECT_EQ(activeNames(tableOf("n1", 30, 40, 1), "n1").front(), "n1-0");
}

TEST_F(active_set_test, ContainsAllMembersWhenNoMinimumIsSet)
{
    m_settings.minimumActiveMembers = 0;
    EXPECT_EQ(activeNames(tableOf("n1", 0, 40, 0), "n1").size(), 40U);
}

TEST_F(active_set_test, ReplacesOnlyTheMemberThatLeaves)
{
    member_table table = tableOf("s1", 0, 40, 0);
    const auto before = activeNames(table, "n1");
    table.members.at(before[1]).record.leaving = true;
    const auto after = activeNames(table, "n1");
    ASSERT_EQ(after.size(), 3U);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[1]), 0);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[0]), 1);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[2]), 1);
}

/// An active VM loses power. With 120 members gossip would suspect it after several seconds.
TEST_F(active_set_test, ReplacesActiveMemberSoonAfterItsLastHeartbeat)
{
    member_table directory = tableOf("n1", 39, 40, 3);
    member_table active = tableOf("n1", 0, 40, 3);
    deliverHeartbeat(active, directory, start);
    EXPECT_TRUE(std::ranges::count(activeNames(directory, "n1", start + 1s), "n1-0"));
    const Core::time_point later = start + m_settings.heartbeatTimeout + 1ms;
    EXPECT_EQ(Membership::statusOf(directory, directory.members.at("n1-0"), m_settings, later),
              Membership::member_status::Live);
    const auto names = activeNames(directory, "n1", later);
    EXPECT_EQ(names.size(), 3U);
    EXPECT_FALSE(std::ranges::count(names, "n1-0"));
}

/// A member stops to send heartbeats since another one took its place. It must not count as silent for that.
TEST_F(active_set_test, MemberWithoutHeartbeatsCountsAsAliveOnceGossipReportsIt)
{
    member_table directory = tableOf("n1", 39, 40, 3);
    member_table active = tableOf("n1", 0, 40, 3);
    deliverHeartbeat(active, directory, start);
    const Core::time_point later = start + 5s;
    EXPECT_TRUE(Membership::isSilent(directory.members.at("n1-0"), m_settings, later));
    const auto round = Membership::startRound(active, m_settings, later);
    static_cast<void>(Membership::onGossip(directory, round, m_settings, later));
    EXPECT_FALSE(Membership::isSilent(directory.members.at("n1-0"), m_settings, later + 5s));
}

/// A whole data centre loses power. Its callers must not be directed to the members that were not active there.
TEST_F(active_set_test, ListsNobodyOfAnotherDataCentreWhoseActiveMembersAreAllSilent)
{
    member_table directory = tableOf("n2", 5, 40, 3);
    for (const int index : {0, 1, 2}) {
        member_table active = tableOf("n1", index, 40, 3);
        deliverHeartbeat(active, directory, start);
    }
    EXPECT_EQ(activeNames(directory, "n1", start + 1s).size(), 3U);
    EXPECT_TRUE(activeNames(directory, "n1", start + 3s).empty());
    Core::random_engine random(1);
    for (const Membership::entry &entry :
         Membership::chooseEntries(directory, m_settings, m_document, "n1", start + 3s, random)) {
        EXPECT_NE(entry.dataCentre, "n1");
        EXPECT_EQ(entry.weight >= 1.0, entry.dataCentre == "n2") << "the nearest data centre takes the callers";
    }
}

TEST_F(active_set_test, KeepsDataCentreWhenSomeActiveMembersAreHeard)
{
    member_table directory = tableOf("n2", 5, 40, 3);
    member_table silent = tableOf("n1", 0, 40, 3);
    member_table heard = tableOf("n1", 1, 40, 3);
    deliverHeartbeat(silent, directory, start);
    deliverHeartbeat(heard, directory, start + 3s);
    const auto names = activeNames(directory, "n1", start + 3s);
    EXPECT_EQ(names.size(), 3U);
    EXPECT_FALSE(std::ranges::count(names, "n1-0"));
}

TEST_F(active_set_test, HeartbeatsPassOnThoseOfOtherActiveMembers)
{
    member_table first = tableOf("s1", 0, 40, 3);
    member_table relay = tableOf("n1", 0, 40, 3);
    member_table last = tableOf("n1", 39, 40, 3);
    deliverHeartbeat(first, relay, start + 1s);
    deliverHeartbeat(relay, last, start + 2s);
    EXPECT_EQ(last.members.at("s1-0").heartbeatAdvancedAt, start + 2s);
    EXPECT_TRUE(last.members.at("s1-0").advancedDirectly);
    Core::random_engine random(1);
    const auto active = Membership::activeMembers(relay, m_settings, m_document, start + 2s);
    const auto targets = Membership::chooseHeartbeatTargets(relay, m_settings, active, start + 2s, random);
    EXPECT_EQ(targets.size(), 39U + 2U) << "the members of its data centre, and one of each other";
}

/// A burst of callers overloads the active members.
TEST_F(active_set_test, GrowsWhileMostActiveMembersAreOverloaded)
{
    member_table table = tableOf("s1", 0, 40, 3);
    for (const char *name : {"n1-0", "n1-1"}) {
        table.members.at(name).record.overloaded = true;
    }
    const auto grown = activeNames(table, "n1");
    EXPECT_EQ(grown.size(), 9U);
    EXPECT_TRUE(std::ranges::count(grown, "n1-0")) << "an overloaded member carries its part all the same";
    for (const std::string &name : grown) {
        table.members.at(name).record.overloaded = true;
    }
    EXPECT_EQ(activeNames(table, "n1").size(), 30U);
}

/// One VM has become slow while the others keep up.
TEST_F(active_set_test, ReplacesSingleOverloadedMember)
{
    member_table table = tableOf("s1", 0, 40, 3);
    table.members.at("n1-1").record.overloaded = true;
    const auto names = activeNames(table, "n1");
    EXPECT_EQ(names.size(), 3U);
    EXPECT_FALSE(std::ranges::count(names, "n1-1"));
}

TEST_F(active_set_test, KeepsOverloadedMemberWhenNobodyCanReplaceIt)
{
    member_table table = tableOf("s1", 0, 3, 3);
    table.members.at("n1-1").record.overloaded = true;
    EXPECT_EQ(activeNames(table, "n1").size(), 3U);
}

/// At most one side of a split data centre may hold what the data centre's daemons share.
TEST_F(active_set_test, OnlyOneSideOfSplitDataCentreSeesMajority)
{
    const auto seesMajority = [&](int own, const std::set<int> &reached) {
        member_table table = tableOf("n1", own, 8, 0);
        const Core::time_point later = start + 60s;
        for (auto &[name, member] : table.members) {
            const bool isReached = member.record.dataCentre == "n1" && reached.contains(name.back() - '0');
            member.heartbeatAdvancedAt = isReached ? later : start;
        }
        return Membership::seesMajority(table, m_settings, later);
    };
    EXPECT_TRUE(seesMajority(0, {1, 2, 3, 4}));
    EXPECT_FALSE(seesMajority(5, {6, 7}));
    EXPECT_FALSE(seesMajority(0, {1, 2, 3})) << "half is no majority";
    EXPECT_FALSE(seesMajority(4, {5, 6, 7}));
}

TEST(Overload, HoldsForAWhileAfterTheLastLongDelay)
{
    Membership::overload_state state;
    EXPECT_FALSE(Membership::updateOverload(state, 2ms, start));
    EXPECT_FALSE(Membership::updateOverload(state, std::nullopt, start));
    EXPECT_TRUE(Membership::updateOverload(state, 60ms, start + 1s));
    EXPECT_TRUE(Membership::updateOverload(state, 1ms, start + 9s));
    EXPECT_FALSE(Membership::updateOverload(state, std::nullopt, start + 12s));
}

/// Six daemons start at once and find each other in two groups, each around a seed.
TEST(Discovery, ProbesSeedThatIsNotAMember)
{
    const Membership::membership_settings settings;
    const auto record = [](const std::string &name) {
        return member_record {name, 1, 1, name + ":80", name + ":81", "dc", false, 0};
    };
    member_table table = Membership::makeTable(record("vm-3"), {"vm-0:81", "vm-1:81"}, start);
    Membership::mergeRecord(table, record("vm-0"), settings, start);
    Membership::mergeRecord(table, record("vm-5"), settings, start);
    Core::random_engine random(1);
    std::set<std::string> targets;
    for (int round = 0; round < 2 * settings.roundsPerProbe; ++round) {
        static_cast<void>(Membership::startRound(table, settings, start));
        const auto chosen = Membership::chooseTargets(table, settings, start, random);
        targets.insert(chosen.begin(), chosen.end());
    }
    EXPECT_TRUE(targets.contains("vm-1:81"));
}
