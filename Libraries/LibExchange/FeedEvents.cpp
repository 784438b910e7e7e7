#include "LibExchange/FeedEvents.h"

#include "LibExchange/FeedState.h"
#include "LibExchange/FeedUpdate.h"

#include <algorithm>
#include <set>

namespace Exchange
{
using namespace std::chrono_literals;

/// Number of deleted entries kept, so that a daemon that lags a little gets only the changes instead of a full list.
static constexpr std::size_t maximumDeletedEntries = 500;
/// Lists follow each other after 25 s or, if changes are missed, after 2 s. A daemon that lags further gets a full
/// list.
static constexpr std::size_t maximumCoveredRanges = 64;
/// Objects that a restored store lacks are written again within 2 s if their writers are alive; the rest is latency.
static constexpr Core::duration restoreSuspicionTime = 2300ms;

static void evictOldDeletions(feed_state &state)
{
    std::vector<std::pair<store_revision, std::string>> deleted;
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

static bool hasSameContent(const feed_entry &existing, const feed_entry &entry)
{
    return existing.deleted == entry.deleted && (entry.deleted || existing.content == entry.content);
}

static void recordPosition(feed_state &state, const feed_update &update)
{
    std::vector<revision_range> &covered = state.coveredPositions;
    const bool isWatchedFromHere = update.since && !covered.empty() && *update.since <= state.position
        && update.since->era == state.position.era && update.position.era == state.position.era;
    state.position = update.position;
    if (isWatchedFromHere) {
        covered.back().last = update.position;
        return;
    }
    if (covered.empty() || covered.back().last < update.position) {
        covered.push_back({update.position, update.position});
    }
    if (covered.size() > maximumCoveredRanges) {
        covered.erase(covered.begin());
    }
}

/// Returns whether the entry was replaced or deleted after it was written, so that it stems from a copy of the store.
static bool isFromOlderCopy(const feed_entry &known, const feed_entry &received, const is_outdated_function &isOutdated)
{
    if (received.deleted || !isOutdated) {
        return false;
    }
    if (!known.deleted) {
        return isOutdated(known, received);
    }
    const bool isNewEra = received.revision.era > known.revision.era;
    const bool isCertainlyRemoved =
        received.learnedAt - known.learnedAt >= decodeSuspectedRemoval(known.content) && !known.removedContent.empty();
    return isNewEra && isCertainlyRemoved && (received.content == known.removedContent || isOutdated(known, received));
}

std::vector<feed_entry> applyUpdate(feed_state &state, const feed_update &update,
                                    const is_outdated_function &isOutdated)
{
    std::vector<feed_entry> changed;
    if (update.position < state.position) {
        return changed;
    }
    const bool isNewEra = update.position.era > state.position.era;
    if (isNewEra) {
        state.highestPresentRevision = 0;
    }
    const auto applyEntry = [&](feed_entry entry) {
        if (!entry.deleted && entry.revision.era == update.position.era) {
            state.highestPresentRevision = std::max(state.highestPresentRevision, entry.revision.number);
        }
        const auto existing = state.entries.find(entry.name);
        if (existing == state.entries.end() && entry.deleted) {
            // This daemon has never had the object, but one that follows it may.
            state.entries.emplace(entry.name, std::move(entry));
            return;
        }
        if (existing != state.entries.end() && isFromOlderCopy(existing->second, entry, isOutdated)) {
            existing->second.revision = entry.revision;
            return;
        }
        if (existing != state.entries.end() && hasSameContent(existing->second, entry)) {
            // The object may have been away or back in between. In a list of a new era all numbers are new.
            if (!update.isFullList || entry.revision.era == existing->second.revision.era) {
                existing->second.revision = std::max(existing->second.revision, entry.revision);
            }
            return;
        }
        if (entry.deleted) {
            entry.removedContent = existing->second.content;
        }
        if (entry.revision <= state.position) {
            // A restore has undone later changes. Daemons that follow this one from its present position lack that.
            entry.revision = update.position;
        }
        changed.push_back(entry);
        state.entries[entry.name] = std::move(entry);
    };
    std::set<std::string> present;
    for (const feed_entry &entry : update.entries) {
        present.insert(entry.name);
        applyEntry(entry);
    }
    if (update.isFullList) {
        std::vector<std::string> missing;
        for (const auto &[name, entry] : state.entries) {
            if (!entry.deleted && !present.contains(name)) {
                missing.push_back(name);
            }
        }
        const bool isRestored = isNewEra && state.position.era > 0;
        const Core::duration suspicion =
            std::max(update.suspectedRemovalWait, isRestored ? restoreSuspicionTime : Core::duration {});
        for (const std::string &name : missing) {
            const std::string content =
                suspicion > Core::duration {} ? encodeSuspectedRemoval(suspicion) : std::string();
            applyEntry({name, update.position, true, content, update.receivedAt});
        }
    }
    state.highestPresentRevision = std::max(state.highestPresentRevision, update.newestPresent);
    recordPosition(state, update);
    evictOldDeletions(state);
    return changed;
}

feed_progress progressOf(const std::map<std::string, feed_state> &states)
{
    feed_progress progress {states.empty() ? 0 : states.begin()->second.position.era, 0};
    for (const auto &[kind, state] : states) {
        progress.era = std::min(progress.era, state.position.era);
        progress.revisions += state.highestPresentRevision;
    }
    return progress;
}

bool knowsChangesAfter(const feed_state &state, store_revision position)
{
    return position >= state.evictedUpTo
        && std::any_of(state.coveredPositions.begin(), state.coveredPositions.end(),
                       [&](const revision_range &range) { return range.first <= position && position <= range.last; });
}

bool hasChangesAfter(const feed_state &state, store_revision position)
{
    // In a new era all numbers are new, so that the position is news as well.
    const bool isNews =
        position < state.position && (position.era < state.position.era || !knowsChangesAfter(state, position));
    return isNews || std::any_of(state.entries.begin(), state.entries.end(), [&](const auto &entry) {
               return entry.second.revision > position;
           });
}

feed_update changesAfter(const feed_state &state, const std::string &kind, store_revision position)
{
    // There is nothing to tell a daemon that is ahead.
    feed_update update {kind,
                        state.position,
                        position < state.position && !knowsChangesAfter(state, position),
                        {},
                        {},
                        {},
                        state.highestPresentRevision};
    for (const auto &[name, entry] : state.entries) {
        const bool isIncluded = update.isFullList ? !entry.deleted : entry.revision > position;
        if (isIncluded) {
            update.entries.push_back(entry);
        }
    }
    return update;
}
} // namespace Exchange
