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

/// The shared state of all services. The shard of a service that was ever configured exists until the daemon ends, so
/// that running queries can keep pointers to it.
class service_shards
{
public:
    service_shards();
    ~service_shards();

    /// Updates the state of every service for a newer configuration.
    void apply(const Configuration::configuration_document &document, Core::time_point now);
    /// Returns the service's shard, or null if the service was never configured.
    service_shard *find(const std::string &service);

private:
    std::shared_mutex m_mutex; ///< Guards the map; each shard has its own mutex.
    std::map<std::string, std::unique_ptr<service_shard>> m_shards;
};
