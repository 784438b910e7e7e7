#include "Support/LoopFixture.h"

#include "LibExchange/FeedControl.h"
#include "LibExchange/FeedUpdate.h"
#include "LibExchange/PeerExchange.h"
#include "LibExchange/StoreContact.h"
#include "LibForward/CallerLimits.h"
#include "LibFront/DecisionLog.h"
#include "LibFront/HttpServer.h"
#include "LibMembership/Membership.h"

#include <list>
#include <memory>
#include <optional>

using namespace std::chrono_literals;

namespace
{
constexpr const char *kind = "k";

/// A store with one object, whose content is its revision. It refuses some daemons.
struct refusing_store {
    std::uint64_t revision = 1;
    std::set<int> refused;
};

/// The part of a daemon that keeps its copy of the store's objects, on real sockets.
class feed_daemon
{
public:
    feed_daemon(boost::asio::io_context &loop, Front::timer_queue &timers, refusing_store &store, int number,
                const std::vector<std::string> &addresses)
        : m_timers(timers)
        , m_store(store)
        , m_number(number)
        , m_exchange(
              loop, timers, m_log, Membership::makeTable(record(number, addresses[number]), {addresses[0]}, now()),
              []() {}, [this](Core::time_point at) { m_feed->decide(at); })
    {
        for (const char *dataCentre : {"a", "b", "c"}) {
            m_topology.dataCentres[dataCentre].region = dataCentre;
        }
        m_feed.emplace(loop, timers, m_log, m_exchange, m_topology, std::vector<std::string> {kind}, number == 0,
                       Exchange::feed_control::callbacks {
                           .startStoreWatches = [this]() { m_isWatching = true; },
                           .stopStoreWatches = [this]() { m_isWatching = false; },
                           .refresh = []() {},
                           .onEntry =
                               [this](const std::string &, const Exchange::feed_entry &entry) {
                                   m_known = entry.revision.number;
                                   m_learnedAt = now();
                               },
                           .isOutdated = {},
                           .onRestored = []() {},
                           .onComplete = []() {},
                       });
        m_server = std::make_unique<Front::http_server>(
            loop, timers, addresses[number],
            [this](Front::request_message &&request, const Front::reply_function &reply) {
                return m_feed->server().handle(request, reply);
            },
            []() { return Forward::caller_limits {}; });
        const auto expectBound = [](const boost::system::error_code &error) {
            EXPECT_FALSE(error);
        };
        m_server->listen(0ms, expectBound);
        m_exchange.setActiveSet(3, m_topology);
        m_exchange.start(0ms, expectBound);
        askStore();
    }

    [[nodiscard]] bool isWatching() const
    {
        return m_isWatching;
    }

    [[nodiscard]] std::uint64_t known() const
    {
        return m_known;
    }

    [[nodiscard]] Core::time_point learnedAt() const
    {
        return m_learnedAt;
    }

private:
    static Core::time_point now()
    {
        return std::chrono::steady_clock::now();
    }

    static Membership::member_record record(int number, const std::string &address)
    {
        Membership::member_record record;
        record.name = "vm-" + std::to_string(number);
        record.incarnation = static_cast<std::uint64_t>(number) + 1;
        record.callerAddress = address;
        record.peerAddress = address;
        record.dataCentre = std::string(1, static_cast<char>('a' + number % 3));
        return record;
    }

    /// Stands for the watches: the store answers, or refuses, every 100 ms.
    void askStore()
    {
        if (m_isWatching && m_store.refused.contains(m_number)) {
            m_feed->recordStoreCall(kind, false);
        } else if (m_isWatching) {
            m_feed->recordStoreCall(kind, true);
            m_feed->applyUpdates({{kind,
                                   {0, m_store.revision},
                                   true,
                                   {{"object", {0, m_store.revision}, false, std::to_string(m_store.revision), now()}},
                                   {},
                                   now()}});
        }
        m_timers.schedule(now() + 100ms, [this](Core::time_point) { askStore(); });
    }

    Front::timer_queue &m_timers;
    refusing_store &m_store;
    int m_number;
    Front::decision_log m_log {"test"};
    Configuration::configuration_document m_topology;
    Exchange::peer_exchange m_exchange;
    std::optional<Exchange::feed_control> m_feed;
    std::unique_ptr<Front::http_server> m_server;
    bool m_isWatching = false;
    std::uint64_t m_known = 0;
    Core::time_point m_learnedAt;
};

class feed_failover_test : public loop_fixture
{
protected:
    static std::string freeAddress(boost::asio::io_context &loop)
    {
        const boost::asio::ip::tcp::acceptor probe(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    }

    void startFleet()
    {
        std::vector<std::string> addresses;
        addresses.reserve(daemons);
        for (int number = 0; number < daemons; ++number) {
            addresses.push_back(freeAddress(m_loop));
        }
        for (int number = 0; number < daemons; ++number) {
            m_daemons.emplace_back(m_loop, m_timers, m_store, number, addresses);
        }
    }

    bool allKnow(std::uint64_t revision)
    {
        return std::all_of(m_daemons.begin(), m_daemons.end(),
                           [=](const feed_daemon &daemon) { return daemon.known() >= revision; });
    }

    static constexpr int daemons = 9;
    refusing_store m_store;
    std::list<feed_daemon> m_daemons;
};
} // namespace

/// Guards against daemons that learn of a change too late because the store turns away all daemons that watch it, while
/// it serves the others: replicas that leave in that time are used beyond their drain time.
TEST_F(feed_failover_test, OtherDaemonsWatchTheStoreSoonWhenItRefusesAllWatchers)
{
    startFleet();
    ASSERT_TRUE(runUntil([this]() { return allKnow(1); }));
    runFor(3s); // Until the members know each other, and the watchers are those of the plan.
    int number = 0;
    for (const feed_daemon &daemon : m_daemons) {
        if (daemon.isWatching()) {
            m_store.refused.insert(number);
        }
        ++number;
    }
    ASSERT_LT(m_store.refused.size(), m_daemons.size());
    ++m_store.revision;
    const Core::time_point changedAt = std::chrono::steady_clock::now();
    ASSERT_TRUE(runUntil([this]() { return allKnow(m_store.revision); }));
    std::vector<Core::time_point> learned;
    learned.reserve(m_daemons.size());
    for (const feed_daemon &daemon : m_daemons) {
        learned.push_back(daemon.learnedAt());
    }
    std::sort(learned.begin(), learned.end());
    // Removals are doubted for 2.2 s from the first daemon that learns of them, and take effect within 3 s. All
    // daemons must know by then.
    EXPECT_LE(Core::toMilliseconds(learned.front() - changedAt), 800.0);
    EXPECT_LE(Core::toMilliseconds(learned.back() - changedAt), 2800.0);
}

/// Guards against a daemon that begins to watch a store that refuses it, and meanwhile keeps followers waiting that
/// would find a better source.
TEST(StoreContact, RelaysAgainOnlyAfterTheStoreHasAnswered)
{
    const Core::time_point start {1000s};
    Exchange::store_contact contact;
    EXPECT_TRUE(Exchange::canRelayUpdates(contact, start));
    EXPECT_TRUE(Exchange::recordStoreFailure(contact, kind, start));
    EXPECT_TRUE(Exchange::canRelayUpdates(contact, start + 200ms)) << "the store has only closed the watches";
    EXPECT_FALSE(Exchange::canRelayUpdates(contact, Exchange::relayCheckTime(start)));
    contact.watchingSince = start + 2s;
    EXPECT_FALSE(Exchange::canRelayUpdates(contact, start + 2s)) << "it has begun to watch, and has heard nothing";
    EXPECT_EQ(Exchange::unreachableFor(contact, start + 3s), 1s);
    Exchange::recordStoreAnswer(contact, kind);
    EXPECT_TRUE(Exchange::canRelayUpdates(contact, start + 3s));
}

/// Each kind has a watch of its own, and the store may refuse one of them only.
TEST(StoreContact, AnswerEndsTheFailureOfItsOwnKindOnly)
{
    const Core::time_point start {1000s};
    Exchange::store_contact contact;
    EXPECT_TRUE(Exchange::recordStoreFailure(contact, "a", start));
    EXPECT_TRUE(Exchange::recordStoreFailure(contact, "b", start + 1s));
    EXPECT_FALSE(Exchange::recordStoreFailure(contact, "b", start + 2s));
    Exchange::recordStoreAnswer(contact, "a");
    EXPECT_FALSE(Exchange::canRelayUpdates(contact, start + 3s));
    EXPECT_EQ(Exchange::unreachableFor(contact, start + 3s), 2s);
    Exchange::recordStoreAnswer(contact, "b");
    EXPECT_TRUE(Exchange::canRelayUpdates(contact, start + 3s));
    EXPECT_EQ(Exchange::unreachableFor(contact, start + 3s), 0s);
}

/// Guards against a daemon that goes on as a source although the store has fallen silent: its watch waits and shows
/// nothing.
TEST(StoreContact, SilentStoreEndsTheRelayAtOnce)
{
    const Core::time_point start {1000s};
    Exchange::store_contact contact;
    Exchange::recordProbe(contact, true, start);
    EXPECT_TRUE(Exchange::canRelayUpdates(contact, start));
    Exchange::recordProbe(contact, false, start + 1s);
    EXPECT_FALSE(Exchange::canRelayUpdates(contact, start + 1s));
    Exchange::recordProbe(contact, false, start + 2s);
    EXPECT_EQ(Exchange::unreachableFor(contact, start + 2s), 1s);
    Exchange::recordStoreAnswer(contact, kind);
    EXPECT_FALSE(Exchange::canRelayUpdates(contact, start + 2s)) << "an answer that was on its way";
    Exchange::recordProbe(contact, true, start + 3s);
    EXPECT_TRUE(Exchange::canRelayUpdates(contact, start + 3s));
}
