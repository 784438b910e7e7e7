#pragma once

#include "LibCore/Time.h"
#include "LibMembership/KeyedBlob.h"
#include "LibRollout/ClosingPatch.h"
#include "VersionChoice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
struct service_settings;
} // namespace Configuration

namespace Query
{
struct query_result;
}

struct rollout_shard;

/// The rollouts of all services: chooses versions, records evidence and exchanges it with peers. Thread-safe.
class rollout_shards
{
public:
    rollout_shards();
    ~rollout_shards();

    [[nodiscard]] version_choice choose(const std::string &name, const Configuration::service_settings &service,
                                        const std::string &requestId);
    /// Records the outcome of a query that ended.
    void record(const std::string &name, const std::string &route, const version_choice &choice,
                const Query::query_result &result, Core::duration latency, Core::wall_time now);
    /// Updates the traffic shares from the document, the time and the evidence. Returns the services whose new version
    /// was newly judged to be failing.
    std::vector<std::string> update(const Configuration::configuration_document &document, std::uint64_t incarnation,
                                    const std::string &dataCentre, Core::wall_time now);
    /// Returns the configuration patches that record rollouts which have ended.
    std::vector<Rollout::closing_patch> closingPatches(const Configuration::configuration_document &document,
                                                       Core::wall_time now);

    /// Returns the evidence to send to peers, about `budget` bytes at most for each rollout.
    std::vector<Membership::keyed_blob> produce(std::size_t budget);
    void merge(const Membership::keyed_blob &blob);

    /// Returns a report of a service's rollout as JSON for operators; nothing if it has no rollout.
    std::optional<std::string> report(const std::string &name, const Configuration::service_settings &service,
                                      Core::wall_time now);

private:
    rollout_shard *find(const std::string &name);

    std::shared_mutex m_mutex; ///< Guards the map; each shard has its own mutex.
    std::map<std::string, std::unique_ptr<rollout_shard>> m_shards;
};
