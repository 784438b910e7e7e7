#include "LibCore/Verify.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "Measures.h"
#include "Support/ExchangingPair.h"
#include "Support/LiveMemory.h"
#include "Support/ProcessorTime.h"

namespace Capacity
{
std::vector<measurement> measureMembership()
{
    const Membership::membership_settings settings;
    measurement bytes {"membership", "one exchange, both directions", "bytes", "daemons", {}, {}, 590, 9};
    measurement time {"membership", "one exchange, both daemons together", "ms", "daemons", {}, {}, 590, 9};
    measurement period {"membership", "period of a daemon's own exchanges", "s", "daemons", {}, {}, 590, 9};
    measurement tick {
        "membership", "see whether the fleet changed, 20 times a second", "ms", "daemons", {}, {}, 590, 9};
    measurement memory {"membership", "member table", "bytes", "daemons", {}, {}, 590, 9};
    for (const std::size_t members : {59U, 148U, 295U, 590U}) {
        const std::int64_t before = Bench::liveBytes();
        Bench::exchanging_pair pair = Bench::makeExchangingPair(members, settings);
        memory.values.push_back(static_cast<double>(Bench::liveBytes() - before) / 2.0);
        Core::time_point now {};
        std::uint64_t round = Bench::settlePair(pair, members, settings, now) + 1;
        bytes.values.push_back(Bench::runExchange(pair, members, round, settings, now));
        time.values.push_back(Core::toMilliseconds(Bench::measureRuns(20, [&] {
            now += std::chrono::seconds(2);
            Bench::runExchange(pair, members, ++round, settings, now);
        })));
        const Membership::fleet known = Membership::makeFleet(pair.first, settings, now);
        tick.values.push_back(Core::toMilliseconds(
            Bench::measureRuns(50, [&] { VERIFY(Membership::makeFleet(pair.first, settings, now) == known); })));
        period.values.push_back(Core::toSeconds(Membership::gossipPeriod(pair.first, settings)));
        for (measurement *each : {&bytes, &time, &tick, &period, &memory}) {
            each->sizes.push_back(static_cast<double>(members));
        }
    }
    return {bytes, time, tick, period, memory};
}
} // namespace Capacity
