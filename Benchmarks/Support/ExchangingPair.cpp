#include "Support/ExchangingPair.h"

#include "LibMembership/Gossip.h"
#include "LibMembership/GossipMessage.h"
#include "LibMembership/MemberRecord.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "LibWire/GossipSize.h"

#include <string>

namespace Bench
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

exchanging_pair makeExchangingPair(std::size_t members, const Membership::membership_settings &settings)
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

double runExchange(exchanging_pair &pair, std::size_t members, std::uint64_t round,
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

std::uint64_t settlePair(exchanging_pair &pair, std::size_t members, const Membership::membership_settings &settings,
                         Core::time_point &now)
{
    constexpr std::uint64_t settlingRounds = 200;
    for (std::uint64_t round = 1; round <= settlingRounds; ++round) {
        now += std::chrono::seconds(2);
        runExchange(pair, members, round, settings, now);
    }
    return settlingRounds;
}
} // namespace Bench
