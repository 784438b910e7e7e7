#include "Policy/MakeDocument.h"

#include <string>

namespace Bench
{
Configuration::configuration_document makeDocument(std::size_t shards, std::size_t replicasPerShard,
                                                   std::uint32_t slots)
{
    constexpr std::size_t dataCentres = 3;
    Configuration::configuration_document document;
    document.number = 1;
    for (std::size_t index = 0; index < dataCentres; ++index) {
        document.dataCentres["dc" + std::to_string(index)].region = "region" + std::to_string(index);
    }
    Configuration::service_settings &service = document.services["search"];
    service.slotsPerReplica = slots;
    service.version = "v1";
    service.currentSnapshot = "snapshot-1";
    service.routes["lookup"].deadline = std::chrono::seconds(1);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const std::string name = "s" + std::to_string(shard);
        service.snapshots["snapshot-1"].shardWeights[name] = 1.0;
        for (std::size_t replica = 0; replica < replicasPerShard; ++replica) {
            Configuration::replica_settings settings;
            settings.shard = name;
            settings.address = "10.0.0.1:" + std::to_string(shard * replicasPerShard + replica + 1);
            settings.dataCentre = "dc" + std::to_string(replica % dataCentres);
            settings.version = "v1";
            service.replicas[name + "-r" + std::to_string(replica)] = settings;
        }
    }
    return document;
}
} // namespace Bench
