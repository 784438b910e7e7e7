#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ReplicaReport.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/SlowStart.h"
#include "LibBackend/SlowStartRecord.h"
#include "LibMembership/GossipMessage.h"
#include "LibTeams/UsageCodec.h"
#include "LibTeams/UsageExchange.h"
#include "LibWire/GossipSize.h"
#include "Measures.h"
#include "Support/ProcessorTime.h"
#include "Support/TargetSizeDocument.h"

#include <algorithm>

namespace Capacity
{
static std::map<std::uint32_t, Teams::team_rates> makeRates(std::size_t teams)
{
    std::map<std::uint32_t, Teams::team_rates> rates;
    for (std::size_t index = 0; index < teams; ++index) {
        const double demand = 100.0 + static_cast<double>(index);
        rates[Teams::teamKey("team-" + std::to_string(index))] = {demand, demand / 2};
    }
    return rates;
}

static std::vector<measurement> measureUsage()
{
    measurement bytes {"shares", "one message of usage", "bytes", "teams", {}, {}, 50, 5};
    measurement time {"shares", "split, encode, decode and merge", "us", "teams", {}, {}, 50, 5};
    measurement rate {"shares", "sent by a daemon, with envelopes and headers", "bytes/s", "teams", {}, {}, 50, 5};
    measurement period {"shares", "time between messages of a daemon", "s", "teams", {}, {}, 50, 5};
    for (const std::size_t teams : {5U, 10U, 25U, 50U}) {
        const auto rates = makeRates(teams);
        const Core::wall_time now {std::chrono::hours(500'000)};
        Teams::usage_exchange first;
        Teams::usage_exchange second;
        Teams::updateUsage(first, rates, now);
        Teams::updateUsage(second, rates, now);
        const std::string text = Teams::encodeUsage(Teams::splitUsage(first));
        bytes.values.push_back(static_cast<double>(text.size()));
        period.values.push_back(Core::toSeconds(Teams::usageInterval(text.size())));
        Membership::gossip_message message;
        message.sender = "vm-590";
        message.blobs.push_back({"share", text});
        const Membership::gossip_message reply {"vm-589", 0, 0, 0, {}, {}, {}, {}};
        rate.values.push_back(static_cast<double>(Wire::gossipSize(message) + Wire::gossipSize(reply))
                              / period.values.back());
        const Core::duration each = Bench::measureRuns(50, [&] {
            const auto received = Teams::decodeUsage(Teams::encodeUsage(Teams::splitUsage(first)));
            Teams::mergeUsage(second, *received, now);
            const auto back = Teams::decodeUsage(Teams::encodeUsage(Teams::splitUsage(second)));
            Teams::mergeUsage(first, *back, now);
        });
        time.values.push_back(Core::toMilliseconds(each) * 500.0); // Two messages a run, in microseconds.
        for (measurement *one : {&bytes, &time, &rate, &period}) {
            one->sizes.push_back(static_cast<double>(teams));
        }
    }
    return {bytes, time, rate, period};
}

static std::vector<measurement> measureWarmth()
{
    measurement time {"health", "take records of warmth of all replicas", "ms", "replicas", {}, {}, 4600, 105};
    for (const std::size_t replicas : {460U, 1150U, 2300U, 4600U}) {
        const auto document = Bench::targetSizeDocument(replicas, std::min<std::size_t>(replicas, 520));
        Backend::service_state service;
        Backend::applyConfiguration(service, document, document.services.at("search"), {});
        const Core::time_point now {std::chrono::hours(1)};
        for (Backend::replica_state &replica : service.replicas) {
            Backend::applyReport(replica, {"incarnation-1", 0.1, true, false}, now);
        }
        const auto records = Backend::exportSlowStart(service, Core::time_point::min());
        time.sizes.push_back(static_cast<double>(replicas));
        time.values.push_back(
            Core::toMilliseconds(Bench::measureRuns(5, [&] { Backend::importSlowStart(service, records, {}); })));
    }
    return {time};
}

std::vector<measurement> measureExchanges()
{
    std::vector<measurement> all = measureUsage();
    for (measurement &one : measureWarmth()) {
        all.push_back(std::move(one));
    }
    return all;
}
} // namespace Capacity
