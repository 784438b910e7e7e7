#include "SlowStartGossip.h"

#include "DaemonState.h"
#include "LibBackend/Ownership.h"
#include "LibBackend/SlowStart.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/SlowStartCodec.h"
#include "LibPlatform/SlowStartMessage.h"
#include "ServiceShard.h"

#include <algorithm>
#include <chrono>

static const std::string prefix = "warmth/";
/// A change is included in every message for this time, which is several gossip rounds.
static constexpr std::chrono::seconds recentPeriod {10};
/// Encoded size of one record or claim with names and incarnations of typical length.
static constexpr std::size_t bytesPerRecord = 72;
static constexpr std::size_t bytesPerClaim = 24;
/// With a smaller budget no message is produced: the fixed overhead would outweigh the records.
static constexpr std::size_t minimumMessageBytes = 150;

/// Keeps at most `maximum` elements; successive values of `rotation` select successive ranges.
template<typename Element>
static void keepRotatingSubset(std::vector<Element> &elements, std::size_t rotation, std::size_t maximum)
{
    if (elements.size() <= maximum) {
        return;
    }
    const std::size_t first = rotation * std::max<std::size_t>(maximum, 1) % elements.size();
    std::rotate(elements.begin(), elements.begin() + static_cast<std::ptrdiff_t>(first), elements.end());
    elements.resize(maximum);
}

slow_start_gossip::slow_start_gossip(daemon_state &daemon)
    : m_daemon(daemon)
{
}

void slow_start_gossip::start()
{
    m_daemon.gossip.add({prefix, [this](std::size_t budget) { return produce(budget); },
                         [this](const Membership::keyed_blob &blob) {
                             merge(blob);
                         }});
}

std::vector<Membership::keyed_blob> slow_start_gossip::produce(std::size_t budget)
{
    const auto document = m_daemon.configuration.current();
    std::vector<std::string> services;
    for (const auto &[name, service] : document->services) {
        services.push_back(name);
    }
    if (services.empty()) {
        return {};
    }
    std::rotate(services.begin(), services.begin() + static_cast<std::ptrdiff_t>(m_messageCount % services.size()),
                services.end());
    ++m_messageCount;
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

std::string slow_start_gossip::produceFor(const std::string &service, record_choice choice, std::size_t budget)
{
    service_shard *shard = m_daemon.services.find(service);
    if (shard == nullptr || budget < minimumMessageBytes) {
        return {};
    }
    Platform::slow_start_message message;
    {
        const std::scoped_lock lock(shard->mutex);
        if (choice == record_choice::Recent) {
            message.claims = Backend::claimedReplicas(shard->state);
            message.records = Backend::exportSlowStart(shard->state, std::chrono::steady_clock::now() - recentPeriod);
        } else {
            message.records = Backend::exportSlowStart(shard->state, Core::time_point::min());
        }
    }
    keepRotatingSubset(message.claims, m_messageCount, (budget - minimumMessageBytes) / bytesPerClaim);
    const std::size_t claims = message.claims.size() * bytesPerClaim;
    keepRotatingSubset(message.records, m_messageCount, (budget - claims) / bytesPerRecord);
    return message.claims.empty() && message.records.empty() ? std::string() : Platform::encodeSlowStart(message);
}

void slow_start_gossip::merge(const Membership::keyed_blob &blob)
{
    service_shard *shard = m_daemon.services.find(blob.key.substr(prefix.size()));
    const auto message = Platform::decodeSlowStart(blob.value);
    if (shard == nullptr || !message) {
        return;
    }
    const Core::time_point now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(shard->mutex);
    Backend::importSlowStart(shard->state, message->records, now);
    for (const std::string &claim : message->claims) {
        Backend::recordClaim(shard->state, claim, now);
    }
}
