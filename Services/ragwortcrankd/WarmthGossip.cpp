#include "WarmthGossip.h"

#include "DaemonState.h"
#include "LibBackend/Ownership.h"
#include "LibBackend/Warmth.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/SlowStartCodec.h"
#include "LibPlatform/SlowStartMessage.h"
#include "ServiceShard.h"

#include <algorithm>
#include <chrono>

static const std::string prefix = "warmth/";
/// Changes go into every message for this long, which is several rounds.
static constexpr std::chrono::seconds recent {10};
/// What one record or claim takes when it is encoded; names and incarnations are of ordinary length.
static constexpr std::size_t bytesPerRecord = 72;
static constexpr std::size_t bytesPerClaim = 24;
/// Below this, a message is not worth its frame.
static constexpr std::size_t leastBytes = 150;

/// Keeps as many elements as fit, another part of them in each turn.
template<typename Element> static void takePart(std::vector<Element> &elements, std::size_t turn, std::size_t most)
{
    if (elements.size() <= most) {
        return;
    }
    const std::size_t first = turn * std::max<std::size_t>(most, 1) % elements.size();
    std::rotate(elements.begin(), elements.begin() + static_cast<std::ptrdiff_t>(first), elements.end());
    elements.resize(most);
}

warmth_gossip::warmth_gossip(daemon_state &daemon)
    : m_daemon(daemon)
{
}

void warmth_gossip::start()
{
    m_daemon.gossip.add({prefix, [this](std::size_t budget) { return produce(budget); },
                         [this](const Membership::keyed_blob &blob) {
                             merge(blob);
                         }});
}

std::vector<Membership::keyed_blob> warmth_gossip::produce(std::size_t budget)
{
    const auto document = m_daemon.configuration.current();
    std::vector<std::string> services;
    for (const auto &[name, service] : document->services) {
        services.push_back(name);
    }
    if (services.empty()) {
        return {};
    }
    std::rotate(services.begin(), services.begin() + static_cast<std::ptrdiff_t>(m_turn % services.size()),
                services.end());
    ++m_turn;
    std::vector<Membership::keyed_blob> blobs;
    for (const record_choice choice : {record_choice::Recent, record_choice::All}) {
        for (const std::string &service : services) {
            Membership::keyed_blob blob {prefix + service, produceFor(service, choice, budget)};
            if (!blob.value.empty()) {
                budget -= std::min(budget, blob.key.size() + blob.value.size());
                blobs.push_back(std::move(blob));
            }
        }
    }
    return blobs;
}

std::string warmth_gossip::produceFor(const std::string &service, record_choice choice, std::size_t budget)
{
    service_shard *shard = m_daemon.services.find(service);
    if (shard == nullptr || budget < leastBytes) {
        return {};
    }
    Platform::slow_start_message message;
    {
        const std::scoped_lock lock(shard->mutex);
        if (choice == record_choice::Recent) {
            message.claims = Backend::claimedReplicas(shard->state);
            message.records = Backend::exportWarmth(shard->state, std::chrono::steady_clock::now() - recent);
        } else {
            message.records = Backend::exportWarmth(shard->state, Core::time_point::min());
        }
    }
    takePart(message.claims, m_turn, (budget - leastBytes) / bytesPerClaim);
    const std::size_t claims = message.claims.size() * bytesPerClaim;
    takePart(message.records, m_turn, (budget - claims) / bytesPerRecord);
    return message.claims.empty() && message.records.empty() ? std::string() : Platform::encodeSlowStart(message);
}

void warmth_gossip::merge(const Membership::keyed_blob &blob)
{
    service_shard *shard = m_daemon.services.find(blob.key.substr(prefix.size()));
    const auto message = Platform::decodeSlowStart(blob.value);
    if (shard == nullptr || !message) {
        return;
    }
    const Core::time_point now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(shard->mutex);
    Backend::importWarmth(shard->state, message->records, now);
    for (const std::string &claim : message->claims) {
        Backend::observeClaim(shard->state, claim, now);
    }
}
