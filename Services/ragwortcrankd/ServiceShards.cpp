#include "ServiceShards.h"

#include "LibBackend/ReplicaEvents.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "ServiceShard.h"

service_shards::service_shards() = default;
service_shards::~service_shards() = default;

void service_shards::apply(const Configuration::configuration_document &document, Core::time_point now)
{
    const std::unique_lock lock(m_mutex);
    for (const auto &[name, service] : document.services) {
        std::unique_ptr<service_shard> &shard = m_shards[name];
        if (shard == nullptr) {
            shard = std::make_unique<service_shard>();
        }
        const std::scoped_lock shardLock(shard->mutex);
        Backend::applyConfiguration(shard->state, document, service, now);
    }
}

service_shard *service_shards::find(const std::string &service)
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_shards.find(service);
    return found == m_shards.end() ? nullptr : found->second.get();
}
