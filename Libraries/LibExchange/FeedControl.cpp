#include "LibExchange/FeedControl.h"

#include "LibExchange/DecideFeed.h"
#include "LibExchange/FeedEvents.h"
#include "LibExchange/FeedView.h"
#include "LibExchange/PeerExchange.h"

#include "LibFront/DecisionLog.h"
#include "LibMembership/FeedPlan.h"
#include "LibMembership/Membership.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Exchange
{
using namespace std::chrono_literals;

/// Without any peer for so long, a daemon is cut off from the others: several rounds of gossip have passed.
static constexpr Core::duration peerSilence = 1500ms;
/// When no source answers, the daemons turn to the store one after the other, so that the first that succeed can serve.
static constexpr Core::duration turnPerDaemon = 40ms;
static constexpr Core::duration longestTurn = 2s;

feed_control::feed_control(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log,
                           peer_exchange &exchange, Configuration::configuration_document places,
                           const std::vector<std::string> &kinds, bool isSeed, callbacks hooks)
    : m_timers(timers)
    , m_log(log)
    , m_exchange(exchange)
    , m_places(std::move(places))
    , m_hooks(std::move(hooks))
    , m_server(timers, m_states)
    , m_follower(loop, timers, log,
                 {
                     .positions =
                         [this]() {
                             std::map<std::string, std::uint64_t> positions;
                             for (const auto &[kind, state] : m_states) {
                                 positions[kind] = state.position;
                             }
                             return positions;
                         },
                     .sources =
                         [this]() {
                             std::vector<std::string> sources =
                                 Membership::planFeed(m_exchange.table(), m_exchange.settings(), m_places,
                                                      std::chrono::steady_clock::now())
                                     .sources;
                             if (!m_complete) {
                                 // A new daemon's view of the fleet is small; the seeds ask the store at once.
                                 const std::vector<std::string> &seeds = m_exchange.table().seedAddresses;
                                 sources.insert(sources.end(), seeds.begin(), seeds.end());
                             }
                             return sources;
                         },
                     .onNews = [this](const std::vector<feed_kind> &news) { takeNews(news); },
                     .onNoSource =
                         [this]() {
                             const Core::duration longest = std::min<Core::duration>(
                                 turnPerDaemon * static_cast<std::int64_t>(m_exchange.table().members.size() + 1),
                                 longestTurn);
                             const double part = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
                             m_waitsForTurn = true;
                             m_timers.schedule(std::chrono::steady_clock::now()
                                                   + std::chrono::duration_cast<Core::duration>(longest * part),
                                               [this](Core::time_point now) {
                                                   m_waitsForTurn = false;
                                                   recordNoSource(m_role, now);
                                                   decide(now);
                                               });
                         },
                 })
    , m_random(exchange.table().self.incarnation)
    , m_isSeed(isSeed)
{
    for (const std::string &kind : kinds) {
        m_states[kind];
    }
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
    return m_complete;
}

void feed_control::takeNews(const std::vector<feed_kind> &news)
{
    bool isNews = false;
    for (const feed_kind &kind : news) {
        const auto state = m_states.find(kind.kind);
        if (state == m_states.end()) {
            continue; // A newer daemon's kind, which this one has no use for.
        }
        for (const feed_entry &entry : applyNews(state->second, kind)) {
            isNews = true;
            m_hooks.onEntry(kind.kind, entry);
        }
    }
    m_newest = knowledgeNumber(m_states);
    const bool allKnown =
        std::all_of(m_states.begin(), m_states.end(), [](const auto &state) { return state.second.position > 0; });
    if (allKnown && !m_complete) {
        m_complete = true;
        m_hooks.onComplete();
    }
    if (m_complete) {
        // Peers compare it with their own to find out that they lag; a daemon that knows too little stays at 0.
        m_exchange.setConfigurationNumber(m_newest);
        if (m_direct && isNews) {
            m_exchange.announce(std::chrono::steady_clock::now());
        }
    }
    updateSource(std::chrono::steady_clock::now());
    if (isNews) {
        m_server.noticeNews();
    }
}

void feed_control::setStoreReachable(bool reachable)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    if (reachable) {
        m_storeLostSince.reset();
    } else if (!m_storeLostSince) {
        m_storeLostSince = now;
    }
    updateSource(now);
}

void feed_control::updateSource(Core::time_point now)
{
    constexpr Core::duration toleratedLoss = 1s; // A store that is back by then has cut the watches only.
    const bool lost = m_storeLostSince && now - *m_storeLostSince > toleratedLoss;
    m_server.setSource(m_direct && !lost);
}

void feed_control::decide(Core::time_point now)
{
    const Membership::feed_plan plan = Membership::planFeed(m_exchange.table(), m_exchange.settings(), m_places, now);
    const Membership::member_table &table = m_exchange.table();
    feed_view view;
    view.watchesStore = plan.watchesStore || (m_isSeed && !m_complete);
    view.hasSources = !plan.sources.empty() || (!m_complete && !table.seedAddresses.empty());
    view.hearsPeers = table.members.empty() || now - table.lastPeerMessageAt < peerSilence;
    view.known = m_newest;
    view.newest = m_complete ? Membership::newestNumber(table, m_exchange.settings(), now) : m_newest;
    view.isDirect = m_direct;
    view.sourceSince = m_follower.sourceSince();
    view.storeLostFor = m_storeLostSince ? now - *m_storeLostSince : Core::duration {};
    const feed_decision decision = decideFeed(m_role, view, now);
    updateSource(now);
    if (decision.direct && !m_direct) {
        becomeDirect();
    } else if (!decision.direct && m_direct) {
        becomeFollower();
    } else if (!m_direct && !m_follower.isFollowing() && !m_waitsForTurn) {
        m_follower.start();
    }
    if (decision.switchSource && !m_direct) {
        m_log.write("feed_switch", {{"known", m_newest}, {"newest", view.newest}});
        m_follower.switchSource();
    }
    if (decision.refresh) {
        m_log.write("feed_refresh", {{"known", m_newest}});
        m_hooks.refresh();
    }
}

void feed_control::becomeDirect()
{
    m_log.write("feed", {{"from", "store"}});
    m_direct = true;
    m_storeLostSince.reset();
    m_follower.stop();
    m_hooks.startDirect();
}

void feed_control::becomeFollower()
{
    m_log.write("feed", {{"from", "peers"}});
    m_direct = false;
    m_storeLostSince.reset();
    m_hooks.stopDirect();
    updateSource(std::chrono::steady_clock::now());
    m_follower.start();
}
} // namespace Exchange
