#include "LibMembership/Gossip.h"
#include "LibMembership/GossipMessage.h"
#include "LibMembership/MemberRecord.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "LibWire/GossipSize.h"
#include "LiveMemory.h"
#include "Measures.h"
#include "ProcessorTime.h"

#include <optional>

namespace Capacity
{
static Membership::member_record makeRecord(std::size_t index, std::uint64_t heartbeat)
{
    Membership::member_record record;
    record.name = "vm-" + std::to_string(index);
    record.incarnation = 1'800'000'000'000'000'000 + index;
    record.heartbeat = heartbeat;
    record.callerAddress = "10.20.1." + std::to_string(index % 250) + ":8080";
    record.peerAddress = "10.20.1." + std::to_string(index % 250) + ":8081";
    record.dataCentre = "dc-" + std::to_string(index % 4);
    record.configurationNumber = 700;
    return record;
}

/// Two daemons of a settled fleet, each of which has heard anew from half of the members since their last exchange.
struct exchanging_pair {
    Membership::member_table first;
    Membership::member_table second;
};

static exchanging_pair makePair(std::size_t members, const Membership::membership_settings &settings)
{
    exchanging_pair pair {Membership::makeTable(makeRecord(0, 1), {}, {}),
                          Membership::makeTable(makeRecord(1, 1), {}, {})};
    for (std::size_t index = 2; index < members; ++index) {
        Membership::mergeRecord(pair.first, makeRecord(index, 1), settings, {});
        Membership::mergeRecord(pair.second, makeRecord(index, 1), settings, {});
    }
    Membership::mergeRecord(pair.first, makeRecord(1, 1), settings, {});
    Membership::mergeRecord(pair.second, makeRecord(0, 1), settings, {});
    return pair;
}

static double bytesOf(const Membership::gossip_message &message)
{
    return static_cast<double>(Wire::gossipSize(message));
}

/// Runs one exchange of the pair and returns its bytes in both directions.
static double exchange(exchanging_pair &pair, std::size_t members, std::uint64_t round,
                       const Membership::membership_settings &settings, Core::time_point now)
{
    for (std::size_t index = 2; index < members; ++index) {
        Membership::member_table &hears = index % 2 == 0 ? pair.first : pair.second;
        Membership::mergeRecord(hears, makeRecord(index, round), settings, now);
    }
    const auto message = Membership::startRound(pair.first, settings, now);
    const auto reply = Membership::onGossip(pair.second, message, settings, now);
    const auto further = Membership::onGossipReply(pair.first, reply, settings, now);
    return bytesOf(message) + bytesOf(reply) + (further ? bytesOf(*further) : 0.0);
}

std::vector<measurement> measureMembership()
{
    const Membership::membership_settings settings;
    measurement bytes {"membership", "one exchange, both directions", "bytes", "daemons", {}, {}, 590, 9};
    measurement time {"membership", "one exchange, both daemons together", "ms", "daemons", {}, {}, 590, 9};
    measurement period {"membership", "period of a daemon's own exchanges", "s", "daemons", {}, {}, 590, 9};
    measurement memory {"membership", "member table", "bytes", "daemons", {}, {}, 590, 9};
    for (const std::size_t members : {59U, 148U, 295U, 590U}) {
        const std::int64_t before = liveBytes();
        exchanging_pair pair = makePair(members, settings);
        memory.values.push_back(static_cast<double>(liveBytes() - before) / 2.0);
        Core::time_point now {};
        constexpr std::uint64_t settlingRounds = 200; // Until no record is new any more.
        std::uint64_t round = 1;
        for (; round <= settlingRounds; ++round) {
            now += std::chrono::seconds(2);
            exchange(pair, members, round, settings, now);
        }
        bytes.values.push_back(exchange(pair, members, round, settings, now));
        time.values.push_back(Core::toMilliseconds(measureRuns(20, [&] {
            now += std::chrono::seconds(2);
            exchange(pair, members, ++round, settings, now);
        })));
        period.values.push_back(Core::toSeconds(Membership::gossipPeriod(pair.first, settings)));
        for (measurement *each : {&bytes, &time, &period, &memory}) {
            each->sizes.push_back(static_cast<double>(members));
        }
    }
    return {bytes, time, period, memory};
}
} // namespace Capacity
