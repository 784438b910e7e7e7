#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "platform/ObjectWatch.h"

#include "LibFront/DecisionLog.h"

#include <deque>

using namespace std::chrono_literals;

namespace
{
/// Provides a store that answers each call with the next response prepared by the test and records the calls.
class object_watch_test : public loop_fixture
{
protected:
    void SetUp() override
    {
        m_watch = std::make_unique<Platform::object_watch>(
            m_loop, m_timers, m_log, "127.0.0.1:" + std::to_string(m_store.address().port()), "things", 1000, 1ms,
            Platform::object_watch::callbacks {
                [this](Exchange::feed_update update) { m_updates.push_back(std::move(update)); },
                [this](bool isAnswered) { m_isAnswered = isAnswered; },
                []() {},
            });
    }

    void answer(raw_connection &peer)
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        m_calls.push_back(peer.received.substr(4, peer.received.find(" HTTP") - 4));
        peer.received.clear();
        if (m_answers.empty()) {
            return; // No response is prepared: the watch keeps waiting.
        }
        const auto [status, body] = m_answers.front();
        m_answers.pop_front();
        if (status == 0) {
            peer.reset();
            return;
        }
        const std::string era = m_eras.empty() ? std::string() : "Store-Era: " + m_eras.front() + "\r\n";
        if (!m_eras.empty()) {
            m_eras.pop_front();
        }
        peer.send("HTTP/1.1 " + m_status.value_or(std::to_string(status)) + " X\r\n" + era
                  + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    bool callsReach(std::size_t count)
    {
        return runUntil([&]() { return m_calls.size() >= count; });
    }

    /// A list without objects, with the revision from which to watch.
    const std::pair<int, std::string> emptyList {200, R"({"items": [], "has-more": false, "store-revision": 7})"};

    static std::string object(const std::string &name, int revision)
    {
        return R"({"meta": {"name": ")" + name + R"(", "revision": )" + std::to_string(revision) + R"(}, "spec": {}})";
    }

    Front::decision_log m_log {"test"};
    raw_server m_store {m_loop, [this](raw_connection &peer) {
                            answer(peer);
                        }};
    std::deque<std::pair<int, std::string>> m_answers;
    std::optional<std::string> m_status; ///< Replaces the status of each response.
    std::deque<std::string> m_eras; ///< Values of the header with the era, by response.
    std::vector<std::string> m_calls;
    std::vector<Exchange::feed_update> m_updates;
    std::optional<bool> m_isAnswered; ///< The latest call.
    std::unique_ptr<Platform::object_watch> m_watch;
};
} // namespace

TEST_F(object_watch_test, ReadsAllPagesAndWatchesFromFirstRevision)
{
    m_answers = {{200, R"({"items": [)" + object("a", 1) + R"(], "has-more": true, "store-revision": 5})"},
                 {200, R"({"items": [)" + object("b", 6) + R"(], "has-more": false, "store-revision": 7})"}};
    m_watch->start();
    ASSERT_TRUE(callsReach(3));
    EXPECT_EQ(m_calls[0], "/api/objects/things");
    EXPECT_EQ(m_calls[1], "/api/objects/things?after=a");
    EXPECT_TRUE(m_calls[2].starts_with("/api/objects/things?watch=5&wait-ms="));
    ASSERT_EQ(m_updates.size(), 1U);
    EXPECT_TRUE(m_updates[0].isFullList);
    EXPECT_EQ(m_updates[0].entries.size(), 2U);
}

TEST_F(object_watch_test, ContinuesFromStoreRevision)
{
    m_answers = {
        emptyList,
        {200, R"({"events": [{"object": )" + object("a", 8) + R"(, "deleted": false}], "store-revision": 9})"}};
    m_watch->start();
    ASSERT_TRUE(callsReach(3));
    EXPECT_TRUE(m_calls[1].starts_with("/api/objects/things?watch=7&"));
    EXPECT_TRUE(m_calls[2].starts_with("/api/objects/things?watch=9&"));
    ASSERT_EQ(m_updates.size(), 2U);
    EXPECT_EQ(m_updates[1].entries.at(0).revision, (Exchange::store_revision {0, 8}));
}

TEST_F(object_watch_test, ListsAgainWhenHistoryIsGone)
{
    m_answers = {emptyList, {410, "{}"}, {200, R"({"items": [], "has-more": false, "store-revision": 50})"}};
    m_watch->start();
    ASSERT_TRUE(callsReach(4));
    EXPECT_EQ(m_calls[2], "/api/objects/things");
    EXPECT_TRUE(m_calls[3].starts_with("/api/objects/things?watch=50&"));
}

/// A store that has missed changes can end a watch without the events and with a newer revision. Continuing to watch
/// from that revision would lose the events permanently.
TEST_F(object_watch_test, ListsAgainWhenWatchEndsWithoutEvents)
{
    m_answers = {emptyList,
                 {200, R"({"events": [], "store-revision": 60})"},
                 {200, R"({"items": [)" + object("a", 55) + R"(], "has-more": false, "store-revision": 60})"}};
    m_watch->start();
    ASSERT_TRUE(callsReach(4));
    EXPECT_EQ(m_calls[2], "/api/objects/things");
    ASSERT_EQ(m_updates.size(), 2U);
    EXPECT_EQ(m_updates[1].entries.at(0).name, "a");
}

/// A store that had just dropped its history closed a watch and kept the next one waiting for 6 s, although an object
/// had changed in between. A list finds such a change.
TEST_F(object_watch_test, ListsAgainWhenWatchIsClosedOrRefused)
{
    m_answers = {emptyList, {0, ""}, emptyList, {503, "{}"}, {429, "{}"}, emptyList};
    m_watch->start();
    ASSERT_TRUE(callsReach(7));
    const std::vector<std::string> lists {m_calls[0], m_calls[2], m_calls[4], m_calls[5]};
    for (const std::string &call : lists) {
        EXPECT_EQ(call, "/api/objects/things");
    }
    EXPECT_TRUE(m_calls[6].starts_with("/api/objects/things?watch=7&"));
}

/// Registrations that expired during a store outage are reported as deleted once the store answers again; their removal
/// must only be suspected.
TEST_F(object_watch_test, DeletionAfterOutageIsSuspected)
{
    const std::string deletion =
        R"({"events": [{"object": )" + object("a", 8) + R"(, "deleted": true}], "store-revision": 9})";
    m_answers = {{503, "{}"}, emptyList, {200, deletion}};
    m_watch->start();
    ASSERT_TRUE(runUntil([this]() { return m_updates.size() > 1; }));
    EXPECT_GT(Exchange::decodeSuspectedRemoval(m_updates[1].entries.at(0).content), 1s);
    EXPECT_GT(m_updates[0].suspectedRemovalWait, 1s);
    EXPECT_EQ(m_isAnswered, true);
}

/// Guards against a failure that is never taken back. A probe that is answered first starts the watch again, which
/// forgot its failures: the answer that followed did not count as the end of the outage, so that the daemon refused its
/// followers and looked for another source for good, and removals after the outage counted as certain.
TEST_F(object_watch_test, AnswerAfterARestartEndsTheFailure)
{
    m_answers = {{503, "{}"}};
    m_watch->start();
    ASSERT_TRUE(runUntil([this]() { return m_isAnswered.has_value(); }));
    EXPECT_EQ(m_isAnswered, false);
    m_answers = {emptyList};
    m_watch->start();
    ASSERT_TRUE(runUntil([this]() { return !m_updates.empty(); }));
    EXPECT_EQ(m_isAnswered, true);
    EXPECT_GT(m_updates[0].suspectedRemovalWait, 1s);
}

TEST_F(object_watch_test, DeletionWithoutOutageIsCertain)
{
    m_answers = {emptyList,
                 {200, R"({"events": [{"object": )" + object("a", 8) + R"(, "deleted": true}], "store-revision": 9})"}};
    m_watch->start();
    ASSERT_TRUE(runUntil([this]() { return m_updates.size() > 1; }));
    EXPECT_EQ(m_updates[1].entries.at(0).content, "");
    EXPECT_EQ(m_updates[0].suspectedRemovalWait, Core::duration {});
}

/// Guards against a status outside of HTTP that counts as an answer of the store.
TEST_F(object_watch_test, StatusOutsideOfTheProtocolIsAFailure)
{
    for (const std::string status : {"000", "099", "600", "999"}) {
        m_status = status;
        m_isAnswered.reset();
        m_answers = {{200, R"({"items": [)" + object("a", 1) + R"(], "has-more": false, "store-revision": 7})"}};
        m_watch->start();
        ASSERT_TRUE(runUntil([this]() { return m_isAnswered.has_value(); })) << status;
        EXPECT_EQ(m_isAnswered, false) << status;
        EXPECT_TRUE(m_updates.empty()) << status;
    }
}

TEST_F(object_watch_test, MalformedPageChangesNothing)
{
    m_answers = {{200, "rubbish"}, {200, R"({"items": 5})"}};
    m_watch->start();
    ASSERT_TRUE(callsReach(3));
    EXPECT_TRUE(m_updates.empty());
}

/// No entry of a page has a name with which to ask for the next page. The list was taken for complete, so that all
/// objects of later pages seemed to be removed.
TEST_F(object_watch_test, PageOfUnreadableEntriesDoesNotEndTheList)
{
    m_answers = {
        {200, R"({"items": [)" + object("a", 1) + R"(], "has-more": true, "store-revision": 7})"},
        {200, R"({"items": [7, {"meta": {}}], "has-more": true, "store-revision": 7})"},
        {200, R"({"items": [)" + object("a", 1) + R"(], "has-more": false, "store-revision": 7})"},
    };
    m_watch->start();
    ASSERT_TRUE(callsReach(4));
    EXPECT_EQ(m_calls[2], "/api/objects/things") << "the list must be read again";
    ASSERT_EQ(m_updates.size(), 1U);
    EXPECT_EQ(m_updates[0].entries.size(), 1U);
}

/// The last name of a page was written into the next call as it is, which the store then could not read.
TEST_F(object_watch_test, EncodesTheNameAfterWhichTheNextPageBegins)
{
    m_answers = {
        {200, R"({"items": [)" + object("a b&c", 1) + R"(], "has-more": true, "store-revision": 7})"},
        emptyList,
    };
    m_watch->start();
    ASSERT_TRUE(callsReach(2));
    EXPECT_EQ(m_calls[1], "/api/objects/things?after=a%20b%26c");
}

/// Guards against a watch that goes on from a revision that the store has given out again after it was restored from a
/// copy: the changes up to there would be lost.
TEST_F(object_watch_test, ListsAgainWhenWatchIsAnsweredInALaterEra)
{
    m_answers = {emptyList,
                 {200, R"({"events": [{"object": )" + object("b", 8) + R"(, "deleted": false}], "store-revision": 8})"},
                 {200, R"({"items": [)" + object("a", 3) + R"(], "has-more": false, "store-revision": 8})"}};
    m_eras = {"1", "2", "2"};
    m_watch->start();
    ASSERT_TRUE(callsReach(4));
    EXPECT_EQ(m_calls[2], "/api/objects/things");
    ASSERT_EQ(m_updates.size(), 2U);
    EXPECT_EQ(m_updates[1].position, (Exchange::store_revision {2, 8}));
    EXPECT_EQ(m_updates[1].entries.at(0).revision, (Exchange::store_revision {2, 3}));
}

TEST_F(object_watch_test, ListsAgainWhenTheStoreIsRestoredBetweenTwoPages)
{
    m_answers = {{200, R"({"items": [)" + object("a", 1) + R"(], "has-more": true, "store-revision": 9})"},
                 {200, R"({"items": [)" + object("b", 6) + R"(], "has-more": false, "store-revision": 7})"},
                 {200, R"({"items": [)" + object("c", 6) + R"(], "has-more": false, "store-revision": 7})"}};
    m_eras = {"1", "2", "2"};
    m_watch->start();
    ASSERT_TRUE(callsReach(4));
    ASSERT_EQ(m_updates.size(), 1U);
    ASSERT_EQ(m_updates[0].entries.size(), 1U);
    EXPECT_EQ(m_updates[0].entries[0].name, "c");
}

TEST_F(object_watch_test, ResponseOfAnEarlierEraIsDropped)
{
    m_answers = {emptyList,
                 {410, "{}"},
                 {200, R"({"items": [)" + object("a", 60) + R"(], "has-more": false, "store-revision": 60})"},
                 emptyList};
    m_eras = {"2", "2", "1", "2"};
    m_watch->start();
    ASSERT_TRUE(callsReach(5));
    ASSERT_EQ(m_updates.size(), 2U);
    EXPECT_TRUE(m_updates[1].entries.empty());
}

TEST_F(object_watch_test, EraThatCannotBeReadChangesNothing)
{
    m_answers = {
        emptyList,
        {200, R"({"events": [{"object": )" + object("a", 8) + R"(, "deleted": false}], "store-revision": 9})"}};
    m_eras = {"3", "soon"};
    m_watch->start();
    ASSERT_TRUE(callsReach(3));
    EXPECT_TRUE(m_calls[2].starts_with("/api/objects/things?watch=9&"));
    EXPECT_EQ(m_updates.at(1).position, (Exchange::store_revision {3, 9}));
}
