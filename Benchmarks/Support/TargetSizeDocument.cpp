#include "Support/TargetSizeDocument.h"

#include "LibConfiguration/Limits.h"
#include "LibConfiguration/PatchId.h"

namespace Bench
{
static constexpr std::size_t dataCentres = 4;
static constexpr std::size_t portsPerHost = 100;
static constexpr std::size_t hostsPerNetwork = 200;
static constexpr std::size_t teams = 40;
static constexpr std::uint64_t number = 700;

static std::string numbered(const char *prefix, std::size_t index)
{
    return prefix + std::to_string(index);
}

static std::string addressOf(std::size_t index)
{
    const std::size_t host = index / portsPerHost;
    return "10.20." + std::to_string(host / hostsPerNetwork) + "." + std::to_string(host % hostsPerNetwork) + ":"
        + std::to_string(10'000 + index % portsPerHost);
}

static Configuration::service_settings makeService(std::size_t replicas, std::size_t shards)
{
    Configuration::service_settings service;
    service.currentSnapshot = "2028-11-03-a";
    for (std::size_t index = 0; index < shards; ++index) {
        service.snapshots["2028-11-03-a"].shardWeights[numbered("shard-", index)] = 1.0;
    }
    for (std::size_t index = 0; index < replicas; ++index) {
        Configuration::replica_settings &replica = service.replicas[numbered("replica-", index)];
        replica.shard = numbered("shard-", index % shards);
        replica.address = addressOf(index);
        replica.dataCentre = numbered("dc-", index % dataCentres);
        replica.version = index < replicas / 2 ? "v41" : "v42";
    }
    service.routes["lookup"] = {};
    service.version = "v41";
    Configuration::rollout_settings &rollout = service.rollout.emplace();
    rollout.number = 1;
    rollout.fromVersion = "v41";
    rollout.toVersion = "v42";
    rollout.deadline = rollout.start + std::chrono::hours(1);
    return service;
}

Configuration::configuration_document targetSizeDocument(std::size_t replicas, std::size_t shards)
{
    Configuration::configuration_document document;
    document.number = number;
    for (std::size_t index = 0; index < Configuration::maximumRecentPatchIds; ++index) {
        const std::string token = "0123456789abcdef" + std::to_string(100'000 + index);
        document.recentPatchIds.push_back(Configuration::makePatchId(number - 1, token));
    }
    for (std::size_t index = 0; index < dataCentres; ++index) {
        document.dataCentres[numbered("dc-", index)].region = numbered("region-", index % 2);
    }
    for (std::size_t index = 0; index < teams; ++index) {
        Configuration::team_settings &team = document.teams[numbered("team-", index)];
        team.keyHash = std::string(62, 'a') + std::to_string(10 + index);
        team.share = 1.0 / teams;
    }
    document.services["search"] = makeService(replicas, shards);
    return document;
}
} // namespace Bench
