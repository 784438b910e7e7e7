#pragma once

#include "LibCore/Time.h"

#include <map>
#include <memory>
#include <shared_mutex>
#include <string>

namespace Configuration
{
struct configuration_document;
}

struct service_shard;

/// The shared state of all services. A service that was once configured keeps its shard until the daemon ends, so that
/// running queries never lose it.
class service_shards
{
public:
    service_shards();
    ~service_shards();

    /// Brings every service in line with a newer configuration.
    void apply(const Configuration::configuration_document &document, Core::time_point now);
    /// Returns the service's shard, or null if the service was never configured.
    service_shard *find(const std::string &service);

private:
    std::shared_mutex m_mutex; ///< Guards the map, not the shards.
    std::map<std::string, std::unique_ptr<service_shard>> m_shards;
};
