#include "LibBackend/Ownership.h"
#include "LibBackend/OwnershipView.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/Parse.h"
#include "LibCore/Verify.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"
#include "LibRollout/Evidence.h"
#include "LibTeams/Accounts.h"
#include "Policy/Scenarios.h"
#include "Support/ExchangingPair.h"
#include "Support/LiveMemory.h"
#include "Support/SampleQuery.h"
#include "Support/TargetSizeDocument.h"
#include "Support/TargetSizeFleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace Bench
{
static constexpr std::size_t targetFleet = 590;
static constexpr std::size_t targetReplicas = 4600;
static constexpr std::size_t targetShards = 520;
static const std::string targetScenario = "590 daemons, 4,600 replicas, 520 shards";
static const std::vector<std::uint64_t> seeds {1};

static bench_row shownOnly(std::string measure, double value)
{
    bench_row row;
    row.measure = std::move(measure);
    row.scenario = targetScenario;
    row.value = value;
    row.seeds = seeds;
    return row;
}

namespace
{
struct query_counts {
    std::uint64_t allocations = 0;
    std::uint64_t bytes = 0;
};
} // namespace

/// Counts what the decisions of one whole query allocate, its plan and all its answers included.
static query_counts countQuery(const Configuration::configuration_document &document, Backend::service_state &service,
                               Core::random_engine &random, Core::time_point now)
{
    const Query::query_plan prototype = samplePlan(document, now);
    std::vector<Query::shard_answer> answers;
    for (std::size_t shard = 0; shard < prototype.shards.size(); ++shard) {
        answers.push_back(sampleAnswer(prototype, shard));
    }
    const std::uint64_t allocationsBefore = allocationCount();
    const std::uint64_t bytesBefore = allocatedBytes();
    Query::query_state query;
    query.plan = samplePlan(document, now);
    Query::query_effects effects = Query::startQuery(query, service, now, random);
    const std::vector<Query::send_attempt> sends = std::move(effects.sends);
    for (const Query::send_attempt &send : sends) {
        effects = Query::onAnswer(query, service, send.attempt, std::move(answers[send.shard]),
                                  now + std::chrono::milliseconds(5), random);
    }
    VERIFY(effects.finished.has_value());
    return {allocationCount() - allocationsBefore, allocatedBytes() - bytesBefore};
}

/// A daemon sends 75,000 shard requests a second. With at most a tenth of a core in the allocator, at 50 ns an
/// allocation, each may take 26 of them.
static void addAllocations(std::vector<bench_row> &rows, const Configuration::configuration_document &document)
{
    constexpr double requestsPerSecond = 75'000.0;
    constexpr double allocationsPerSecond = 0.1 / 50e-9;
    const double most = std::floor(allocationsPerSecond / requestsPerSecond);
    Core::time_point now {std::chrono::hours(1)};
    Backend::service_state service = warmService(document, now);
    Core::random_engine random(seeds.front());
    countQuery(document, service, random, now); // Grows what is kept from one query to the next.
    now += std::chrono::seconds(1);
    const query_counts counts = countQuery(document, service, random, now);
    rows.push_back(atMost("decisions' allocations a shard request", targetScenario,
                          static_cast<double>(counts.allocations) / targetShards, most, seeds));
    rows.push_back(
        shownOnly("decisions' bytes allocated a shard request", static_cast<double>(counts.bytes) / targetShards));
}

/// A root's messages for one query, over several roots. A query is to reach its 520 shards by at most 36 branches.
static void addBranchCalls(std::vector<bench_row> &rows, const Configuration::configuration_document &document)
{
    constexpr double mostCalls = 36.0;
    std::size_t most = 0;
    for (std::size_t root = 0; root < targetFleet; root += targetFleet / 10) {
        most = std::max(most, countBranchCalls(document, targetFleet, root));
    }
    rows.push_back(atMost("branch calls of a query, most of 10 roots", targetScenario, static_cast<double>(most),
                          mostCalls, seeds));
}

/// In each period a daemon starts one exchange and, in the mean, takes part in one that another has started.
static void addGossip(std::vector<bench_row> &rows)
{
    constexpr double controlBytesPerSecond = 10'000.0;
    const Membership::membership_settings settings;
    exchanging_pair pair = makeExchangingPair(targetFleet, settings);
    Core::time_point now {};
    const std::uint64_t round = settlePair(pair, targetFleet, settings, now) + 1;
    now += std::chrono::seconds(2);
    const double bytes = 2.0 * runExchange(pair, targetFleet, round, settings, now);
    const double period = Core::toSeconds(Membership::gossipPeriod(pair.first, settings));
    rows.push_back(
        atMost("gossip bytes a period, both ways", targetScenario, bytes, controlBytesPerSecond * period, seeds));
}

/// The store holds values up to a megabyte.
static void addDocument(std::vector<bench_row> &rows, const Configuration::configuration_document &document)
{
    const std::string text = Configuration::serializeDocument(document);
    rows.push_back(
        atMost("bytes of the document", targetScenario, static_cast<double>(text.size()), 1'000'000.0, seeds));
}

static Rollout::rollout_evidence fullEvidence()
{
    constexpr std::uint32_t routes = 2;
    constexpr std::uint32_t windows = 2;
    Rollout::rollout_evidence evidence;
    for (std::uint64_t daemon = 0; daemon < Rollout::maximumDaemonRows; ++daemon) {
        Rollout::daemon_evidence row;
        for (std::uint32_t route = 0; route < routes; ++route) {
            for (auto &side : row.routes[route].windows) {
                for (std::uint32_t window = 0; window < windows; ++window) {
                    side[window].newTotal = 1;
                }
            }
        }
        Rollout::mergeDaemon(evidence, daemon + 1, row);
    }
    return evidence;
}

/// A daemon may keep 128 MB for control: the document as text and parsed, the members, every replica's state, who owns
/// what, and the evidence of a rollout.
static void addControlMemory(std::vector<bench_row> &rows, const Configuration::configuration_document &document)
{
    constexpr double mostBytes = 128e6;
    const Membership::membership_settings settings;
    const Core::time_point now {std::chrono::hours(1)};
    const std::int64_t before = liveBytes();
    const std::string text = Configuration::serializeDocument(document);
    const Configuration::parsed_document parsed = Configuration::parseDocument(text);
    const exchanging_pair members = makeExchangingPair(targetFleet, settings);
    Backend::service_state service;
    Backend::applyConfiguration(service, document, parsed.document.services.at("search"), now);
    Backend::ownership_view view = Membership::computeOwnership(targetSizeFleet(targetFleet), document, "search");
    Backend::applyOwnership(service, std::move(view), now);
    const Rollout::rollout_evidence evidence = fullEvidence();
    rows.push_back(atMost("bytes of the control state, two member tables", targetScenario,
                          static_cast<double>(liveBytes() - before), mostBytes, seeds));
}

/// Every daemon of the fleet counts itself among a shard's owners or does not; the sum of what the owners may open must
/// stay within the replica's limit.
static void addConnections(std::vector<bench_row> &rows, const Configuration::configuration_document &document)
{
    std::map<std::string, std::uint32_t> connections;
    for (std::size_t self = 0; self < targetFleet; ++self) {
        const auto view = Membership::computeOwnership(targetSizeFleet(targetFleet, self), document, "search");
        for (const auto &[shard, owners] : view.byShard) {
            connections[shard] += owners.own ? view.connectionsPerReplica : 0;
        }
    }
    std::uint32_t most = 0;
    for (const auto &[shard, sum] : connections) {
        most = std::max(most, sum);
    }
    VERIFY(connections.size() == targetShards);
    rows.push_back(atMost("connections to one replica, most of all", targetScenario, static_cast<double>(most),
                          static_cast<double>(document.services.at("search").connectionLimit), seeds));
}

/// The store takes several hundred writes a second: each daemon's accounts, a read with each, and 2,100 changes a day.
static void addStoreWrites(std::vector<bench_row> &rows)
{
    constexpr double mostWrites = 300.0;
    constexpr double changesPerSecond = 2'100.0 / 86'400.0;
    const double writes = targetFleet / Core::toSeconds(Teams::accountFlushInterval) + changesPerSecond;
    rows.push_back(atMost("store writes/s", targetScenario, writes, mostWrites, seeds));
}

std::vector<bench_row> runCounts()
{
    const auto document = targetSizeDocument(targetReplicas, targetShards);
    std::vector<bench_row> rows;
    addAllocations(rows, document);
    addBranchCalls(rows, document);
    addGossip(rows);
    addDocument(rows, document);
    addControlMemory(rows, document);
    addConnections(rows, document);
    addStoreWrites(rows);
    return rows;
}
} // namespace Bench
