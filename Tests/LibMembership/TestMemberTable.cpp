#include "LibMembership/ChooseEntries.h"
#include "LibMembership/FeedPlan.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"

#include "LibConfiguration/ConfigurationDocument.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace std::chrono_literals;
using Membership::member_record;
using Membership::member_table;
using Membership::membership_settings;

static const Core::time_point start {1h};

static member_record makeRecord(const std::string &name, std::uint64_t incarnation = 1, std::uint64_t heartbeat = 1)
{
    return {name, incarnation, heartbeat, name + ":80", name + ":81", "dc", false, 0};
}

static member_table makeTable(const std::string &name)
{
    return Membership::makeTable(makeRecord(name), {}, start);
}

/// Runs one gossip exchange that `left` initiates with `right`.
static void exchange(member_table &left, member_table &right, Core::time_point now)
{
    const membership_settings settings;
    const auto reply = Membership::onGossip(right, Membership::startRound(left, settings, now), settings, now);
    if (const auto followUp = Membership::onGossipReply(left, reply, settings, now)) {
        EXPECT_FALSE(
            Membership::onGossipReply(left, Membership::onGossip(right, *followUp, settings, now), settings, now));
    }
}

static member_record drawRecord()
{
    member_record record = makeRecord("vm", *rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<int>(1, 6));
    record.leaving = *rc::gen::arbitrary<bool>();
    record.overloaded = *rc::gen::arbitrary<bool>();
    record.configurationNumber = *rc::gen::inRange<std::uint64_t>(0, 5);
    return record;
}

RC_GTEST_PROP(MemberTable, YieldsSameRecordWhenRecordsAreMergedInAnyOrder, ())
{
    std::vector<member_record> records(*rc::gen::inRange<std::size_t>(1, 8));
    for (member_record &record : records) {
        record = drawRecord();
    }
    std::vector<std::size_t> order(2 * records.size());
    for (std::size_t &index : order) {
        index = *rc::gen::inRange<std::size_t>(0, records.size());
    }
    member_table inOrder = makeTable("self");
    member_table shuffled = makeTable("self");
    for (const std::size_t index : order) {
        Membership::mergeRecord(shuffled, records[index], {}, start);
    }
    for (const member_record &record : records) {
        Membership::mergeRecord(inOrder, record, {}, start);
        Membership::mergeRecord(shuffled, record, {}, start);
    }
    RC_ASSERT(inOrder.members.at("vm").record == shuffled.members.at("vm").record);
}

TEST(MemberTable, KeepsNewIncarnationWhenOldRecordArrivesLate)
{
    member_table table = makeTable("self");
    member_record leaving = makeRecord("vm", 1, 900);
    leaving.leaving = true;
    Membership::mergeRecord(table, leaving, {}, start);
    Membership::mergeRecord(table, makeRecord("vm", 2, 1), {}, start);
    Membership::mergeRecord(table, leaving, {}, start + 1s);
    EXPECT_EQ(table.members.at("vm").record.incarnation, 2U);
    EXPECT_FALSE(table.members.at("vm").record.leaving);
    EXPECT_EQ(table.namesById.size(), 1U);
}

TEST(MemberTable, AdvancesHeartbeatWhenLowBitsWrapAround)
{
    member_table left = makeTable("left");
    member_table right = makeTable("right");
    left.self.heartbeat = 65530;
    for (int round = 0; round < 20; ++round) {
        exchange(left, right, start + round * 1s);
    }
    EXPECT_EQ(right.members.at("left").record.heartbeat, left.self.heartbeat);
    EXPECT_EQ(right.members.at("left").heartbeatAdvancedAt, start + 19s);
}

TEST(MemberTable, SuspectsAndRemovesSilentMemberAndReadmitsItWhenItResponds)
{
    const membership_settings settings;
    member_table left = makeTable("left");
    member_table right = makeTable("right");
    exchange(left, right, start);
    const Core::duration period = Membership::gossipPeriod(left, settings);
    const auto status = [&](Core::time_point now) {
        return Membership::statusOf(left, left.members.at("right"), settings, now);
    };
    EXPECT_EQ(status(start + period * settings.suspectPeriods), Membership::member_status::Live);
    EXPECT_EQ(status(start + period * (settings.suspectPeriods + 1)), Membership::member_status::Suspected);
    EXPECT_EQ(status(start + period * (settings.deadPeriods + 1)), Membership::member_status::Dead);
    Core::random_engine random(1);
    Membership::removeDeadMembers(left, settings, start + 1h);
    EXPECT_EQ(Membership::chooseTargets(left, settings, start + 1h, random), std::vector<std::string> {"right:81"});
    exchange(right, left, start + 1h);
    EXPECT_EQ(status(start + 1h), Membership::member_status::Live);
    Membership::removeDeadMembers(left, settings, start + 5h);
    EXPECT_TRUE(left.members.empty());
    EXPECT_TRUE(left.namesById.empty());
}

TEST(MemberTable, KeepsNewerStateWhenDaemonResumesFromSuspension)
{
    member_table daemon = makeTable("paused");
    member_table other = makeTable("other");
    exchange(daemon, other, start);
    const member_table suspended = daemon;
    Membership::mergeRecord(other, makeRecord("gone", 1, 5), {}, start);
    for (int round = 1; round < 100; ++round) {
        Membership::setConfigurationNumber(other, {0, static_cast<std::uint64_t>(round)});
        Membership::leave(other);
    }
    member_table resumed = suspended;
    Membership::skipSuspendedTime(resumed, 30s);
    EXPECT_EQ(Membership::liveMembers(resumed, {}, start + 30s).size(), 2U)
        << "time in suspension does not count as silence of the members";
    exchange(resumed, other, start + 30s);
    EXPECT_EQ(other.self.configurationNumber, 99U);
    EXPECT_EQ(resumed.members.at("other").record.configurationNumber, 99U);
    EXPECT_TRUE(resumed.members.at("other").record.leaving);
}

/// After the store was restored from a copy, its numbers begin again lower. The other daemons must learn the new ones
/// by digests as well as by records.
TEST(MemberTable, NumberOfALaterEraReplacesAHigherOneOfAnEarlierEra)
{
    member_table daemon = makeTable("self");
    member_table other = makeTable("other");
    Membership::setConfigurationNumber(daemon, {1, 274});
    exchange(daemon, other, start);
    EXPECT_EQ(other.members.at("self").record.configurationNumber, 274U);
    Membership::setConfigurationNumber(daemon, {2, 110});
    exchange(daemon, other, start + 1s);
    EXPECT_EQ(other.members.at("self").record.configuration(), (Membership::configuration_number {2, 110}));
    EXPECT_EQ(Membership::newestNumber(other, {}, start + 1s), (Membership::configuration_number {2, 110}));
    Membership::setConfigurationNumber(daemon, {1, 300});
    EXPECT_EQ(daemon.self.configurationNumber, 110U);
}

TEST(MemberTable, IsIsolatedWhenNeitherStoreNorPeersRespond)
{
    member_table table = makeTable("self");
    const Core::time_point afterTimeout = start + 20s;
    EXPECT_FALSE(Membership::isIsolated(table, {}, afterTimeout)) << "a fleet of one has no peer to hear from";
    Membership::applyList(table, {{"vm", "vm:80", "vm:81", "dc", false}}, start);
    EXPECT_TRUE(Membership::isIsolated(table, {}, afterTimeout));
    Membership::applyList(table, {{"vm", "vm:80", "vm:81", "dc", false}}, afterTimeout);
    EXPECT_FALSE(Membership::isIsolated(table, {}, afterTimeout + 1s));
}

TEST(MemberTable, ExcludesMembersFromEntriesWhenLeavingSuspectedOrOutOfService)
{
    Configuration::configuration_document document;
    document.dataCentres = {{"dc", {"north", false}}, {"near", {"north", false}}, {"out", {"north", true}}};
    member_table table = makeTable("self");
    const membership_settings settings;
    member_record leaving = makeRecord("leaving");
    leaving.leaving = true;
    member_record out = makeRecord("out");
    out.dataCentre = "out";
    member_record near = makeRecord("near");
    near.dataCentre = "near";
    Membership::mergeRecord(table, makeRecord("silent"), settings, start - 10s);
    for (const member_record &record : {leaving, out, near}) {
        Membership::mergeRecord(table, record, settings, start);
    }
    Core::random_engine random(1);
    const auto names = [&](const std::string &dataCentre, Core::time_point now) {
        std::vector<std::string> list;
        for (const auto &entry : Membership::chooseEntries(table, settings, document, dataCentre, now, random)) {
            list.push_back(entry.name);
        }
        return list;
    };
    EXPECT_EQ(names("dc", start), (std::vector<std::string> {"self", "near"}));
    EXPECT_EQ(names("near", start), (std::vector<std::string> {"near", "self"}));
    Membership::leave(table);
    EXPECT_EQ(names("dc", start), std::vector<std::string> {"near"});
}

TEST(MemberTable, ExcludesMembersFromEntriesWhenWithoutConfiguration)
{
    member_table table = makeTable("self");
    const membership_settings settings;
    member_record ready = makeRecord("ready");
    ready.configurationNumber = 7;
    for (const member_record &record : {makeRecord("fresh"), ready}) {
        Membership::mergeRecord(table, record, settings, start);
    }
    Configuration::configuration_document document;
    document.number = 7;
    Core::random_engine random(1);
    const auto entries = Membership::chooseEntries(table, settings, document, "dc", start, random);
    ASSERT_EQ(entries.size(), 1U);
    EXPECT_EQ(entries[0].name, "ready");
}
