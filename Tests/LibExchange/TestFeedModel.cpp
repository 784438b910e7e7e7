#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedEvents.h"
#include "LibExchange/FeedState.h"
#include "LibExchange/FeedUpdate.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <vector>

/// A model of one store and several daemons that read it, or follow each other, in random order.
namespace
{
using Exchange::feed_entry;
using Exchange::feed_state;
using Exchange::feed_update;
using Exchange::store_revision;

constexpr Core::time_point now {std::chrono::seconds(1000)};
constexpr const char *kind = "k";
using contents = std::map<std::string, std::string>;

struct model_store {
    struct change {
        std::uint64_t revision = 0;
        std::string name;
        std::optional<std::string> content;
    };
    std::uint32_t era = 1;
    std::uint64_t revision = 1;
    std::map<std::string, change> objects;
    std::vector<change> history;

    void write(const std::string &name, std::optional<std::string> content)
    {
        const change made {++revision, name, std::move(content)};
        history.push_back(made);
        if (made.content) {
            objects[name] = made;
        } else {
            objects.erase(name);
        }
    }

    [[nodiscard]] feed_update list() const
    {
        feed_update update {kind, {era, revision}, true, {}, {}, now};
        for (const auto &[name, object] : objects) {
            update.entries.push_back({name, {era, object.revision}, false, *object.content, now});
        }
        return update;
    }

    /// Returns nothing if the store has no such revision, as a 410. Of several changes of an object it reports all, or
    /// only the last.
    [[nodiscard]] std::optional<feed_update> watch(store_revision since, bool reportsAll) const
    {
        if (since.era != era || since.number > revision) {
            return std::nullopt;
        }
        feed_update update {kind, {era, revision}, false, {}, {}, now};
        update.since = since;
        for (const change &made : history) {
            const auto object = objects.find(made.name);
            const bool isLast = object != objects.end() ? object->second.revision == made.revision : !made.content;
            if (made.revision > since.number && (reportsAll || isLast)) {
                // The revision of a removal is the one up to which the watch has read.
                const std::uint64_t at = made.content ? made.revision : revision;
                update.entries.push_back({made.name, {era, at}, !made.content, made.content.value_or(""), now});
            }
        }
        return update;
    }
};

struct model_daemon {
    feed_state state;
    std::optional<store_revision> watchedUpTo; ///< Set while it reads the store.
};

contents presentIn(const feed_state &state)
{
    contents present;
    for (const auto &[name, entry] : state.entries) {
        if (!entry.deleted) {
            present[name] = entry.content;
        }
    }
    return present;
}

void readStore(model_daemon &daemon, const model_store &store, bool reportsAll)
{
    std::optional<feed_update> update =
        daemon.watchedUpTo ? store.watch(*daemon.watchedUpTo, reportsAll) : std::nullopt;
    if (!update) {
        update = store.list();
    }
    daemon.watchedUpTo = update->position;
    (void)Exchange::applyUpdate(daemon.state, *update);
}

/// Asks a daemon that reads the store for the changes after the own position, over the wire.
void follow(model_daemon &daemon, const model_daemon &source)
{
    daemon.watchedUpTo.reset();
    const bool isRefused = !source.watchedUpTo || daemon.state.position.era > source.state.position.era;
    if (isRefused || !Exchange::hasChangesAfter(source.state, daemon.state.position)) {
        return;
    }
    const std::string page =
        Exchange::encodeFeed({Exchange::changesAfter(source.state, kind, daemon.state.position)}, now);
    (void)Exchange::applyUpdate(daemon.state, Exchange::decodeFeed(page, now).value().at(0));
}

class feed_model : public testing::TestWithParam<int>
{
protected:
    std::size_t draw(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    void changeStore(bool mayRestore)
    {
        const std::string name = "n" + std::to_string(draw(6));
        if (draw(3) == 0) {
            m_store.write(name, std::nullopt);
        } else {
            m_store.write(name, "c" + std::to_string(draw(3)));
        }
        if (mayRestore && draw(20) == 0) {
            m_copy = m_store;
        }
        if (mayRestore && draw(80) == 0) {
            const std::uint32_t era = m_store.era;
            m_store = m_copy;
            m_store.era = era + 1;
        }
    }

    void step(bool mayRestore)
    {
        model_daemon &daemon = m_daemons[draw(m_daemons.size())];
        switch (draw(8)) {
        case 0:
        case 1:
        case 2:
            changeStore(mayRestore);
            return;
        case 3:
        case 4:
            readStore(daemon, m_store, draw(2) == 0);
            return;
        case 5:
        case 6:
            follow(daemon, m_daemons[draw(m_daemons.size())]);
            return;
        default:
            if (draw(4) == 0) {
                daemon = {}; // It has ended, and another process takes its place.
            } else {
                daemon.watchedUpTo.reset();
            }
        }
    }

    /// Daemons that have read the same have the same content, and all reach that of the store.
    void play(bool mayRestore)
    {
        for (int round = 0; round < 3000; ++round) {
            step(mayRestore);
            for (const model_daemon &daemon : m_daemons) {
                const store_revision position = daemon.state.position;
                if (position == store_revision {m_store.era, m_store.revision}) {
                    ASSERT_EQ(presentIn(daemon.state), presentIn(readingOf(m_store))) << "round " << round;
                }
            }
        }
        readStore(m_daemons[0], m_store, true);
        for (model_daemon &daemon : m_daemons) {
            if (&daemon != &m_daemons[0]) {
                follow(daemon, m_daemons[0]);
            }
            ASSERT_EQ(presentIn(daemon.state), presentIn(readingOf(m_store)));
        }
    }

    static feed_state readingOf(const model_store &store)
    {
        feed_state state;
        (void)Exchange::applyUpdate(state, store.list());
        return state;
    }

    std::mt19937_64 m_random {static_cast<std::uint64_t>(GetParam())};
    model_store m_store;
    model_store m_copy;
    std::vector<model_daemon> m_daemons {5};
};
} // namespace

/// Guards against removals that a daemon never learns of, since the one that it follows has not seen them: its state
/// began with a list, or went over them by a list.
TEST_P(feed_model, DaemonsReachTheContentOfTheStore)
{
    play(false);
}

/// Guards against changes that are lost or undone when the store's revisions are given out again.
TEST_P(feed_model, DaemonsReachTheContentOfARestoredStore)
{
    play(true);
}

INSTANTIATE_TEST_SUITE_P(Seeds, feed_model, testing::Range(1, 101));
