#include "LibExchange/FeedEvents.h"

#include "LibExchange/FeedKind.h"
#include "LibExchange/FeedState.h"

#include <algorithm>
#include <set>

namespace Exchange
{
/// Number of deleted entries kept, so that a daemon that lags a little gets only the changes instead of a full list.
static constexpr std::size_t mostDeleted = 500;

static void forgetOldDeletions(feed_state &state)
{
    std::vector<std::pair<std::uint64_t, std::string>> deleted;
    for (const auto &[name, entry] : state.entries) {
        if (entry.deleted) {
            deleted.emplace_back(entry.revision, name);
        }
    }
    if (deleted.size() <= mostDeleted) {
        return;
    }
    std::sort(deleted.begin(), deleted.end());
    deleted.resize(deleted.size() - mostDeleted / 2);
    for (const auto &[revision, name] : deleted) {
        state.completeAfter = std::max(state.completeAfter, revision);
        state.entries.erase(name);
    }
}

static bool sameContent(const feed_state &state, const feed_entry &entry)
{
    const auto known = state.entries.find(entry.name);
    if (known == state.entries.end()) {
        return entry.deleted;
    }
    return known->second.deleted == entry.deleted && (entry.deleted || known->second.content == entry.content);
}

std::vector<feed_entry> applyNews(feed_state &state, const feed_kind &news)
{
    std::vector<feed_entry> changed;
    if (news.position < state.position) {
        return changed;
    }
    const auto take = [&](feed_entry entry) {
        if (!entry.deleted) {
            state.newestPresent = std::max(state.newestPresent, entry.revision);
        }
        if (!sameContent(state, entry)) {
            changed.push_back(entry);
            state.entries[entry.name] = std::move(entry);
        }
    };
    std::set<std::string> present;
    for (const feed_entry &entry : news.entries) {
        present.insert(entry.name);
        take(entry);
    }
    if (news.whole) {
        std::vector<std::string> missing;
        for (const auto &[name, entry] : state.entries) {
            if (!entry.deleted && !present.contains(name)) {
                missing.push_back(name);
            }
        }
        for (const std::string &name : missing) {
            const bool isDoubted = news.doubtedFor > Core::duration {};
            take({name, news.position, true, isDoubted ? doubtedDeletion(news.doubtedFor) : std::string()});
        }
    }
    state.position = news.position;
    forgetOldDeletions(state);
    return changed;
}

std::uint64_t knowledgeNumber(const std::map<std::string, feed_state> &states)
{
    std::uint64_t sum = 0;
    for (const auto &[kind, state] : states) {
        sum += state.newestPresent;
    }
    return sum;
}

feed_kind newsAfter(const feed_state &state, const std::string &kind, std::uint64_t position)
{
    feed_kind news {kind, state.position, position == 0 || position < state.completeAfter, {}, {}};
    for (const auto &[name, entry] : state.entries) {
        const bool wanted = news.whole ? !entry.deleted : entry.revision > position;
        if (wanted) {
            news.entries.push_back(entry);
        }
    }
    return news;
}
} // namespace Exchange
