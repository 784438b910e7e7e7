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

/// The rollouts of all services: chooses versions, counts evidence and exchanges it. All functions may be called from
/// any thread.
class rollout_shards
{
public:
    rollout_shards();
    ~rollout_shards();

    [[nodiscard]] version_choice choose(const std::string &name, const Configuration::service_settings &service,
                                        const std::string &requestId);
    /// Counts a query that ended.
    void record(const std::string &name, const std::string &route, const version_choice &choice,
                const Query::query_result &result, Core::duration latency, Core::wall_time now);
    /// Brings the shares in line with the document, the time and the evidence. Returns the services whose new version
    /// has just been found bad.
    std::vector<std::string> update(const Configuration::configuration_document &document, std::uint64_t incarnation,
                                    const std::string &dataCentre, Core::wall_time now);
    /// Returns the patches that record rollouts which have ended.
    std::vector<Rollout::closing_patch> closingPatches(const Configuration::configuration_document &document,
                                                       Core::wall_time now);

    /// Returns evidence for peers, at most about `budget` bytes for each rollout.
    std::vector<Membership::keyed_blob> produce(std::size_t budget);
    void merge(const Membership::keyed_blob &blob);

    /// Reports one service's rollout as JSON for operators; nothing if there is none.
    std::optional<std::string> report(const std::string &name, const Configuration::service_settings &service,
                                      Core::wall_time now);

private:
    rollout_shard *find(const std::string &name);

    std::shared_mutex m_mutex; ///< Guards the map, not the shards.
    std::map<std::string, std::unique_ptr<rollout_shard>> m_shards;
};
