#include "LibExchange/FeedControl.h"

#include "LibExchange/DecideFeed.h"
#include "LibExchange/FeedEvents.h"
#include "LibExchange/FeedView.h"
#include "LibExchange/PeerExchange.h"

#include "LibFront/DecisionLog.h"
#include "LibMembership/FeedPlan.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/Membership.h"

#include <algorithm>
#include <utility>

namespace Exchange
{
using namespace std::chrono_literals;

/// A daemon that has received nothing from any peer for several gossip rounds is cut off from the others.
static constexpr Core::duration maximumPeerSilence = 1500ms;
/// A source whose heartbeat has not advanced for this time, and for this many gossip rounds, may be suspended. To
/// follow another one needlessly costs one request.
static constexpr Core::duration maximumSourceSilence = 1800ms;
static constexpr int silentRounds = 5;
static constexpr Core::duration sourceSearchInterval = 400ms; ///< Between two attempts to find a source that answers.

feed_control::feed_control(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log,
                           peer_exchange &exchange, Configuration::configuration_document topology,
                           const std::vector<std::string> &kinds, bool isSeed, callbacks hooks)
    : m_timers(timers)
    , m_log(log)
    , m_exchange(exchange)
    , m_topology(std::move(topology))
    , m_hooks(std::move(hooks))
    , m_server(timers, m_states)
    , m_follower(
          loop, timers, log,
          {
              .positions =
                  [this]() {
                      std::map<std::string, store_revision> positions;
                      for (const auto &[kind, state] : m_states) {
                          positions[kind] = state.position;
                      }
                      return positions;
                  },
              .sources =
                  [this]() {
                      const Core::time_point now = std::chrono::steady_clock::now();
                      std::vector<std::string> sources =
                          Membership::planFeed(m_exchange.table(), m_exchange.settings(), m_topology, now).sources;
                      std::erase_if(sources, [&](const std::string &source) { return isSilent(source, now); });
                      if (!m_isComplete) {
                          // A new daemon has few members in its view; seeds watch the store from the start.
                          const std::vector<std::string> &seeds = m_exchange.table().seedAddresses;
                          sources.insert(sources.end(), seeds.begin(), seeds.end());
                      }
                      return sources;
                  },
              .onUpdates = [this](std::vector<feed_update> updates) { return applyRelayed(std::move(updates)); },
              .onNoSource = [this]() { onNoSource(std::chrono::steady_clock::now()); },
          })
    , m_isSeed(isSeed)
{
    for (const std::string &kind : kinds) {
        m_states[kind];
    }
}

/// Completes an update from a daemon of an earlier version, which states no eras.
static void stateEra(feed_update &update, std::uint32_t era)
{
    update.position.era = era;
    for (feed_entry &entry : update.entries) {
        entry.revision.era = era;
    }
}

bool feed_control::isSilent(const std::string &source, Core::time_point now) const
{
    const auto &members = m_exchange.table().members;
    const Core::duration limit = std::max<Core::duration>(
        maximumSourceSilence, silentRounds * Membership::roundInterval(m_exchange.table(), m_exchange.settings()));
    return std::any_of(members.begin(), members.end(), [&](const auto &entry) {
        const Membership::member_state &member = entry.second;
        return member.record.peerAddress == source && now - member.heartbeatAdvancedAt > limit;
    });
}

void feed_control::onNoSource(Core::time_point now)
{
    const Membership::feed_plan plan = Membership::planFeed(m_exchange.table(), m_exchange.settings(), m_topology, now);
    if (!m_noSourceSince) {
        m_noSourceSince = now;
    }
    const Core::time_point asksStoreAt = *m_noSourceSince + plan.storeFallbackDelay;
    m_isStartScheduled = true;
    m_timers.schedule(std::clamp(asksStoreAt, now, now + sourceSearchInterval), [=, this](Core::time_point due) {
        m_isStartScheduled = false;
        if (due >= asksStoreAt) {
            m_noSourceSince.reset();
            recordNoSource(m_decisionState, due);
        }
        decide(due);
    });
}

bool feed_control::isAssignedToStore() const
{
    return m_isAssignedToStore;
}

feed_server &feed_control::server()
{
    return m_server;
}

const feed_server::states &feed_control::states() const
{
    return m_states;
}

bool feed_control::isComplete() const
{
    return m_isComplete;
}

bool feed_control::applyRelayed(std::vector<feed_update> updates)
{
    bool isCurrent = true;
    for (feed_update &update : updates) {
        const auto state = m_states.find(update.kind);
        if (state == m_states.end()) {
            continue;
        }
        const std::uint32_t era = state->second.position.era;
        if (update.position.era == 0 && m_restoredEra == 0) {
            stateEra(update, era);
        }
        isCurrent = isCurrent && update.position.era >= era;
    }
    if (isCurrent) {
        m_noSourceSince.reset();
    }
    applyUpdates(updates);
    return isCurrent;
}

bool feed_control::applyToState(feed_state &state, const feed_update &update)
{
    const store_revision before = state.position;
    if (update.position < before) {
        m_log.write("feed_update_dropped",
                    {{"kind", update.kind},
                     {"revision", update.position.number},
                     {"era", update.position.era},
                     {"known", before.number},
                     {"known_era", before.era}});
        return false;
    }
    const std::vector<feed_entry> changed =
        applyUpdate(state, update, [&](const feed_entry &known, const feed_entry &received) {
            return m_hooks.isOutdated && m_hooks.isOutdated(update.kind, known, received);
        });
    if (update.isFullList && m_isWatchingStore) {
        m_listedAt[update.kind] = std::chrono::steady_clock::now();
    }
    if (update.isFullList && before.number > 0) {
        m_log.write("feed_list",
                    {{"kind", update.kind},
                     {"source", m_isWatchingStore ? "store" : m_follower.source()},
                     {"revision_before", before.number},
                     {"revision", update.position.number},
                     {"changes", changed.size()}});
    }
    const bool isNewEra = before.era > 0 && state.position.era > before.era;
    if (isNewEra) {
        recordEra(state, update.kind, before, changed.size());
    }
    for (const feed_entry &entry : changed) {
        m_hooks.onEntry(update.kind, entry);
    }
    return isNewEra || !changed.empty();
}

void feed_control::recordEra(const feed_state &state, const std::string &kind, store_revision before,
                             std::size_t changes)
{
    m_log.writeAlways("store_restored",
                      {{"kind", kind},
                       {"era_before", before.era},
                       {"era", state.position.era},
                       {"revision_before", before.number},
                       {"revision", state.position.number},
                       {"changes", changes}});
    if (m_hooks.onRestored && state.position.era > m_restoredEra) {
        m_hooks.onRestored();
    }
    m_restoredEra = std::max(m_restoredEra, state.position.era);
}

void feed_control::applyUpdates(const std::vector<feed_update> &updates)
{
    bool hasChanges = false;
    for (const feed_update &update : updates) {
        const auto state = m_states.find(update.kind);
        if (state == m_states.end()) {
            continue; // A kind that only newer daemons use.
        }
        hasChanges = applyToState(state->second, update) || hasChanges;
    }
    m_progress = std::max(m_progress, progressOf(m_states));
    const bool isEveryKindRead = std::all_of(m_states.begin(), m_states.end(),
                                             [](const auto &state) { return state.second.position.number > 0; });
    if (isEveryKindRead && !m_isComplete) {
        m_isComplete = true;
        m_hooks.onComplete();
    }
    if (m_isComplete) {
        // Peers compare it with their own number to detect that they lag. It stays 0 until this daemon has read every
        // kind.
        m_exchange.setConfigurationNumber({m_progress.era, m_progress.revisions});
        if (m_isWatchingStore && hasChanges) {
            m_exchange.announce(std::chrono::steady_clock::now());
        }
    }
    updateSourceRole(std::chrono::steady_clock::now());
    if (hasChanges) {
        m_server.notifyWaiting();
    }
}

void feed_control::recordStoreCall(const std::string &kind, bool isAnswered)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    if (isAnswered) {
        recordStoreAnswer(m_storeContact, kind);
    } else if (recordStoreFailure(m_storeContact, kind, now)) {
        m_timers.schedule(relayCheckTime(now), [this](Core::time_point due) { updateSourceRole(due); });
    }
    updateSourceRole(now);
}

void feed_control::recordStoreProbe(bool isAnswered)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    const bool wasSilent = m_storeContact.silentSince.has_value();
    recordProbe(m_storeContact, isAnswered, now);
    if (wasSilent != m_storeContact.silentSince.has_value()) {
        m_log.writeAlways(isAnswered ? "store_answers" : "store_silent",
                          {{"known", m_progress.revisions}, {"era", m_progress.era}});
        if (isAnswered) {
            // Connections that have fallen silent may stay so.
            m_hooks.refresh();
        }
    }
    updateSourceRole(now);
}

bool feed_control::isWatchingStore() const
{
    return m_isWatchingStore;
}

void feed_control::updateSourceRole(Core::time_point now)
{
    const bool isSource = m_isWatchingStore && canRelayUpdates(m_storeContact, now);
    if (isSource != m_isSource) {
        m_isSource = isSource;
        m_log.write("feed_relay",
                    {{"on", isSource},
                     {"watching", m_isWatchingStore},
                     {"failing", !m_storeContact.failingSince.empty()},
                     {"silent", m_storeContact.silentSince.has_value()}});
    }
    m_server.setSource(isSource);
}

void feed_control::decide(Core::time_point now)
{
    const Membership::feed_plan plan = Membership::planFeed(m_exchange.table(), m_exchange.settings(), m_topology, now);
    const Membership::member_table &table = m_exchange.table();
    feed_view view;
    m_isAssignedToStore = plan.watchesStore;
    view.watchesStore = plan.watchesStore || (m_isSeed && !m_isComplete);
    view.storeFallbackDelay = plan.storeFallbackDelay;
    view.hasSources = !plan.sources.empty() || (!m_isComplete && !table.seedAddresses.empty());
    view.hasPeerContact = table.members.empty() || now - table.lastPeerMessageAt < maximumPeerSilence;
    view.ownProgress = m_progress;
    view.announcedProgress = m_progress;
    if (m_isComplete) {
        const Membership::configuration_number newest = Membership::newestNumber(table, m_exchange.settings(), now);
        view.announcedProgress = {newest.era, newest.number};
    }
    view.isWatchingStore = m_isWatchingStore;
    if (m_listedAt.size() == m_states.size()) {
        const auto earliest =
            std::min_element(m_listedAt.begin(), m_listedAt.end(),
                             [](const auto &left, const auto &right) { return left.second < right.second; });
        view.listedAt = earliest->second;
    }
    view.isSourceSilent = isSilent(m_follower.source(), now);
    view.sourceSince = m_follower.sourceSince();
    view.storeUnreachableFor = unreachableFor(m_storeContact, now);
    const feed_decision decision = decideFeed(m_decisionState, view, now);
    updateSourceRole(now);
    if (decision.watchStore && !m_isWatchingStore) {
        startWatchingStore(decision.reason);
    } else if (!decision.watchStore && m_isWatchingStore) {
        startFollowing(decision.reason);
    } else if (!m_isWatchingStore && !m_follower.isFollowing() && !m_isStartScheduled) {
        m_follower.start();
    }
    if (decision.switchSource && !m_isWatchingStore) {
        m_log.write("feed_switch",
                    {{"known", m_progress.revisions},
                     {"era", m_progress.era},
                     {"newest", view.announcedProgress.revisions},
                     {"newest_era", view.announcedProgress.era}});
        m_follower.switchSource();
    }
    if (decision.refresh) {
        m_log.write("feed_refresh", {{"known", m_progress.revisions}, {"era", m_progress.era}});
        m_hooks.refresh();
    }
}

void feed_control::startWatchingStore(feed_reason reason)
{
    m_log.write("feed", {{"from", "store"}, {"reason", feedReasonName(reason)}});
    m_isWatchingStore = true;
    m_storeContact.watchingSince = std::chrono::steady_clock::now();
    m_noSourceSince.reset();
    m_follower.stop();
    m_hooks.startStoreWatches();
}

void feed_control::startFollowing(feed_reason reason)
{
    m_log.write("feed", {{"from", "peers"}, {"reason", feedReasonName(reason)}});
    m_isWatchingStore = false;
    m_hooks.stopStoreWatches();
    updateSourceRole(std::chrono::steady_clock::now());
    m_follower.start();
}
} // namespace Exchange
