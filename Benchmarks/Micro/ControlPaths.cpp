#include "LibBackend/OwnershipView.h"
#include "LibConfiguration/Parse.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/GossipMessage.h"
#include "LibMembership/MembershipSettings.h"
#include "LibRollout/Evidence.h"
#include "LibTeams/UsageCodec.h"
#include "LibTeams/UsageExchange.h"
#include "LibWire/GossipCodec.h"
#include "Support/ExchangingPair.h"
#include "Support/TargetSizeDocument.h"
#include "Support/TargetSizeFleet.h"

#include <benchmark/benchmark.h>

#include <capnp/message.h>

#include <string>

static constexpr std::size_t replicas = 4600;
static constexpr std::size_t shards = 520;
static constexpr std::size_t targetFleet = 590;

static void computeOwnership(benchmark::State &state)
{
    const auto document = Bench::targetSizeDocument(replicas, shards);
    const Membership::fleet fleet = Bench::targetSizeFleet(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(Membership::computeOwnership(fleet, document, "search"));
    }
}
BENCHMARK(computeOwnership)->Arg(9)->Arg(59)->Arg(targetFleet)->Unit(benchmark::kMillisecond);

static void codeGossip(benchmark::State &state)
{
    const Membership::membership_settings settings;
    Bench::exchanging_pair pair = Bench::makeExchangingPair(targetFleet, settings);
    Core::time_point now {};
    Bench::settlePair(pair, targetFleet, settings, now);
    const Membership::gossip_message message = Membership::startRound(pair.first, settings, now);
    for (auto _ : state) {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<Wire::Schema::GossipMessage>();
        Wire::encodeGossip(message, root);
        benchmark::DoNotOptimize(Wire::decodeGossip(root.asReader()));
    }
}
BENCHMARK(codeGossip)->Unit(benchmark::kMicrosecond);

static void exchangeGossip(benchmark::State &state)
{
    const Membership::membership_settings settings;
    Bench::exchanging_pair pair = Bench::makeExchangingPair(targetFleet, settings);
    Core::time_point now {};
    std::uint64_t round = Bench::settlePair(pair, targetFleet, settings, now);
    for (auto _ : state) {
        now += std::chrono::seconds(2);
        benchmark::DoNotOptimize(Bench::runExchange(pair, targetFleet, ++round, settings, now));
    }
}
BENCHMARK(exchangeGossip)->Unit(benchmark::kMicrosecond);

static void validateDocument(benchmark::State &state)
{
    const std::string text = Configuration::serializeDocument(Bench::targetSizeDocument(replicas, shards));
    for (auto _ : state) {
        benchmark::DoNotOptimize(Configuration::parseDocument(text));
    }
}
BENCHMARK(validateDocument)->Unit(benchmark::kMillisecond);

static void exchangeUsage(benchmark::State &state)
{
    constexpr int teams = 40;
    const Core::wall_time now {std::chrono::hours(500'000)};
    Teams::usage_exchange first;
    Teams::usage_exchange second;
    std::map<std::uint32_t, Teams::team_rates> rates;
    for (int team = 0; team < teams; ++team) {
        rates[Teams::teamKey("team-" + std::to_string(team))] = {100.0 + team, 50.0};
    }
    Teams::updateUsage(first, rates, now);
    Teams::updateUsage(second, rates, now);
    for (auto _ : state) {
        const auto received = Teams::decodeUsage(Teams::encodeUsage(Teams::splitUsage(first)));
        Teams::mergeUsage(second, *received, now);
        const auto back = Teams::decodeUsage(Teams::encodeUsage(Teams::splitUsage(second)));
        Teams::mergeUsage(first, *back, now);
    }
}
BENCHMARK(exchangeUsage)->Unit(benchmark::kMicrosecond);

static Rollout::rollout_evidence makeEvidence(std::uint64_t firstDaemon)
{
    Rollout::rollout_evidence evidence;
    for (std::uint64_t daemon = firstDaemon; daemon < firstDaemon + Rollout::maximumDaemonRows; ++daemon) {
        Rollout::daemon_evidence row;
        for (auto &windows : row.routes[1].windows) {
            windows[1].newTotal = 1;
            windows[2].newTotal = 1;
        }
        Rollout::mergeDaemon(evidence, daemon, row);
    }
    return evidence;
}

static void mergeEvidence(benchmark::State &state)
{
    const Rollout::rollout_evidence other = makeEvidence(1);
    Rollout::rollout_evidence held = makeEvidence(Rollout::maximumDaemonRows / 2);
    for (auto _ : state) {
        Rollout::mergeEvidence(held, other);
        benchmark::DoNotOptimize(held);
    }
}
BENCHMARK(mergeEvidence)->Unit(benchmark::kMicrosecond);
