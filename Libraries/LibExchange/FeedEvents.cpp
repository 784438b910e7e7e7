#include "LibExchange/FeedEvents.h"

#include "LibExchange/FeedState.h"
#include "LibExchange/FeedUpdate.h"

#include <algorithm>
#include <set>

namespace Exchange
{
/// Number of deleted entries kept, so that a daemon that lags a little gets only the changes instead of a full list.
static constexpr std::size_t maximumDeletedEntries = 500;

static void evictOldDeletions(feed_state &state)
{
    std::vector<std::pair<std::uint64_t, std::string>> deleted;
    for (const auto &[name, entry] : state.entries) {
        if (entry.deleted) {
            deleted.emplace_back(entry.revision, name);
        }
    }
    if (deleted.size() <= maximumDeletedEntries) {
        return;
    }
    std::sort(deleted.begin(), deleted.end());
    deleted.resize(deleted.size() - maximumDeletedEntries / 2);
    for (const auto &[revision, name] : deleted) {
        state.evictedUpTo = std::max(state.evictedUpTo, revision);
        state.entries.erase(name);
    }
}

static bool hasSameContent(const feed_state &state, const feed_entry &entry)
{
    const auto existing = state.entries.find(entry.name);
    if (existing == state.entries.end()) {
        return entry.deleted;
    }
    return existing->second.deleted == entry.deleted && (entry.deleted || existing->second.content == entry.content);
}

std::vector<feed_entry> applyUpdate(feed_state &state, const feed_update &update)
{
    std::vector<feed_entry> changed;
    if (update.position < state.position) {
        return changed;
    }
    const auto applyRegistration = [&](feed_entry entry) {
        if (!entry.deleted) {
            state.highestPresentRevision = std::max(state.highestPresentRevision, entry.revision);
        }
        if (!hasSameContent(state, entry)) {
            changed.push_back(entry);
            state.entries[entry.name] = std::move(entry);
        }
    };
    std::set<std::string> present;
    for (const feed_entry &entry : update.entries) {
        present.insert(entry.name);
        applyRegistration(entry);
    }
    if (update.isFullList) {
        std::vector<std::string> missing;
        for (const auto &[name, entry] : state.entries) {
            if (!entry.deleted && !present.contains(name)) {
                missing.push_back(name);
            }
        }
        for (const std::string &name : missing) {
            const bool isSuspected = update.suspectedRemovalWait > Core::duration {};
            applyRegistration({name, update.position, true,
                               isSuspected ? encodeSuspectedRemoval(update.suspectedRemovalWait) : std::string(),
                               update.receivedAt});
        }
    }
    state.position = update.position;
    evictOldDeletions(state);
    return changed;
}

std::uint64_t progressNumber(const std::map<std::string, feed_state> &states)
{
    std::uint64_t sum = 0;
    for (const auto &[kind, state] : states) {
        sum += state.highestPresentRevision;
    }
    return sum;
}

feed_update changesAfter(const feed_state &state, const std::string &kind, std::uint64_t position)
{
    feed_update update {kind, state.position, position == 0 || position < state.evictedUpTo, {}, {}, {}};
    for (const auto &[name, entry] : state.entries) {
        const bool isIncluded = update.isFullList ? !entry.deleted : entry.revision > position;
        if (isIncluded) {
            update.entries.push_back(entry);
        }
    }
    return update;
}
} // namespace Exchange
