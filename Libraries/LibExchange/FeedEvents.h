#pragma once

#include "LibExchange/FeedProgress.h"
#include "LibExchange/StoreRevision.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Functions that merge and relay updates of the store's objects. Positions only grow, so an update may be received
/// repeatedly, from several sources, or from a source that lags.
namespace Exchange
{
struct feed_entry;
struct feed_update;
struct feed_state;

/// Returns whether the content that was received was written before the one known, that is, before `known.content` or,
/// for a deleted entry, `known.removedContent`. A store that is restored from a copy holds such content.
using is_outdated_function = std::function<bool(const feed_entry &known, const feed_entry &received)>;

/// Applies an update of one kind and returns the entries that changed. An update older than the state's position
/// changes nothing. An entry whose content is outdated keeps the content that is known, or stays deleted.
[[nodiscard]] std::vector<feed_entry> applyUpdate(feed_state &state, const feed_update &update,
                                                  const is_outdated_function &isOutdated = {});

/// Returns a measure that grows when newer entries are applied and is equal at all daemons that have applied the same.
/// It decreases only while some kinds have been read in a new era and others have not.
[[nodiscard]] feed_progress progressOf(const std::map<std::string, feed_state> &states);

/// Returns whether the state tells every change that a daemon lacks that has read the kind up to `position`: this
/// daemon was at that position itself, or has watched the store from there on. It has not seen what was created and
/// removed between two positions from one of which it went to the other by a list.
[[nodiscard]] bool knowsChangesAfter(const feed_state &state, store_revision position);

/// Returns whether the state holds changes that a daemon may lack that has read the kind up to `position`.
[[nodiscard]] bool hasChangesAfter(const feed_state &state, store_revision position);

/// Returns the update for a daemon that has read the kind up to `position`: the changes, or a full list if they are not
/// known.
[[nodiscard]] feed_update changesAfter(const feed_state &state, const std::string &kind, store_revision position);
} // namespace Exchange
