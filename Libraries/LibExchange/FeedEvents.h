#pragma once

#include <cstdint>
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

/// Applies an update of one kind and returns the entries that changed. An update older than the state's position
/// changes nothing.
[[nodiscard]] std::vector<feed_entry> applyUpdate(feed_state &state, const feed_update &update);

/// Returns a number that never decreases, grows when newer entries are applied, and is equal at all daemons that have
/// applied the same. It is a sum over the kinds, since the maximum would hide that one kind lags behind another.
[[nodiscard]] std::uint64_t progressNumber(const std::map<std::string, feed_state> &states);

/// Returns the update for a daemon that has read the kind up to `position`.
[[nodiscard]] feed_update changesAfter(const feed_state &state, const std::string &kind, std::uint64_t position);
} // namespace Exchange
