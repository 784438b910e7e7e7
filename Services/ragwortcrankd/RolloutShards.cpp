#include "RolloutShards.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibQuery/QueryResult.h"
#include "LibRollout/ChooseVersion.h"
#include "LibRollout/CloseRollout.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/EvidenceCodec.h"
#include "LibRollout/RolloutShare.h"
#include "RolloutShard.h"

#include <mutex>
#include <utility>

using Rollout::verdict;
using Rollout::version_side;

static constexpr std::string_view keyPrefix = "rollout/";

static std::string blobKey(const std::string &service, std::uint64_t number)
{
    return std::string(keyPrefix) + std::to_string(number) + "/" + service;
}

rollout_shards::rollout_shards() = default;
rollout_shards::~rollout_shards() = default;

rollout_shard *rollout_shards::find(const std::string &name)
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_shards.find(name);
    return found == m_shards.end() ? nullptr : found->second.get();
}

version_choice rollout_shards::choose(const std::string &name, const Configuration::service_settings &service,
                                      const std::string &requestId)
{
    version_choice choice;
    rollout_shard *shard = Rollout::isClosed(service) ? nullptr : find(name);
    if (shard != nullptr) {
        const std::scoped_lock lock(shard->mutex);
        if (shard->number == service.rollout->number) {
            choice.rollout = shard->number;
            choice.newShare = shard->share;
        }
    }
    choice.version = Rollout::chooseVersion(service, choice.newShare, requestId);
    choice.isNew = choice.rollout != 0 && choice.version == service.rollout->toVersion;
    return choice;
}

void rollout_shards::record(const std::string &name, const std::string &route, const version_choice &choice,
                            const Query::query_result &result, Core::duration latency, Core::wall_time now)
{
    rollout_shard *shard = choice.rollout == 0 ? nullptr : find(name);
    // A query that did not reach any backend server is no evidence about its version.
    if (shard == nullptr || (result.result == Query::outcome::NotRun && result.errorAnswers == 0)) {
        return;
    }
    const std::scoped_lock lock(shard->mutex);
    if (shard->number == choice.rollout) {
        const version_side side = choice.isNew ? version_side::New : version_side::Old;
        Rollout::recordAnswer(shard->own, {side, choice.newShare, route, result.errorAnswers > 0, latency}, now);
    }
}

std::vector<std::string> rollout_shards::update(const Configuration::configuration_document &document,
                                                std::uint64_t incarnation, const std::string &dataCentre,
                                                Core::wall_time now)
{
    std::vector<std::string> newlyFailing;
    for (const auto &[name, service] : document.services) {
        if (Rollout::isClosed(service)) {
            continue;
        }
        if (find(name) == nullptr) {
            const std::unique_lock lock(m_mutex);
            m_shards.try_emplace(name, std::make_unique<rollout_shard>());
        }
        rollout_shard &shard = *find(name);
        const std::scoped_lock lock(shard.mutex);
        if (shard.number != service.rollout->number) {
            shard.number = service.rollout->number;
            shard.own = {};
            shard.fleetEvidence = {};
        }
        shard.own.counts.dataCentre = Rollout::nameKey(dataCentre);
        Rollout::mergeDaemon(shard.fleetEvidence, incarnation, shard.own.counts);
        if (!shard.fleetEvidence.bad && Rollout::evaluateEvidence(shard.fleetEvidence, now) == verdict::Bad) {
            shard.fleetEvidence.bad = true;
            newlyFailing.push_back(name);
        }
        shard.share = Rollout::shareOfNewVersion(*service.rollout, shard.fleetEvidence, now);
    }
    return newlyFailing;
}

std::vector<Rollout::closing_patch>
rollout_shards::closingPatches(const Configuration::configuration_document &document, Core::wall_time now)
{
    std::vector<Rollout::closing_patch> patches;
    for (const auto &[name, service] : document.services) {
        rollout_shard *shard = Rollout::isClosed(service) ? nullptr : find(name);
        if (shard == nullptr) {
            continue;
        }
        const std::scoped_lock lock(shard->mutex);
        if (shard->number != service.rollout->number) {
            continue;
        }
        if (auto patch = Rollout::closeRollout(name, service, document.number, shard->fleetEvidence, now)) {
            patches.push_back(std::move(*patch));
        }
    }
    return patches;
}

std::vector<Membership::keyed_blob> rollout_shards::produce(std::size_t budget)
{
    const std::shared_lock lock(m_mutex);
    std::vector<Membership::keyed_blob> blobs;
    for (const auto &[name, shard] : m_shards) {
        const std::scoped_lock shardLock(shard->mutex);
        if (shard->number != 0) {
            blobs.push_back({blobKey(name, shard->number),
                             Rollout::encodeEvidence(shard->fleetEvidence, budget, shard->lastSentRow)});
        }
    }
    return blobs;
}

void rollout_shards::merge(const Membership::keyed_blob &blob)
{
    const std::size_t slash = blob.key.find('/', keyPrefix.size());
    const auto evidence = Rollout::decodeEvidence(blob.value);
    rollout_shard *shard = slash == std::string::npos ? nullptr : find(blob.key.substr(slash + 1));
    if (shard == nullptr || !evidence) {
        return;
    }
    const std::scoped_lock lock(shard->mutex);
    if (blob.key == blobKey(blob.key.substr(slash + 1), shard->number)) {
        Rollout::mergeEvidence(shard->fleetEvidence, *evidence);
        shard->share = shard->fleetEvidence.bad ? 0.0 : shard->share;
    }
}
