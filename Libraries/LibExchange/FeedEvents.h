#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// How knowledge of the store's objects is merged and handed on. Positions only grow, so news may come twice, from
/// several sources and from one that is behind.
namespace Exchange
{
struct feed_entry;
struct feed_kind;
struct feed_state;

/// Takes news of a kind. Returns the entries that changed, for the owner to act on. News from before the known position
/// changes nothing.
[[nodiscard]] std::vector<feed_entry> applyNews(feed_state &state, const feed_kind &news);

/// A number that grows with everything that a daemon learns of entries that are there, the same at all daemons that
/// know the same. A sum, since the newest revision of one kind would hide that another kind lags.
[[nodiscard]] std::uint64_t knowledgeNumber(const std::map<std::string, feed_state> &states);

/// What a daemon that knows the kind up to `position` lacks.
[[nodiscard]] feed_kind newsAfter(const feed_state &state, const std::string &kind, std::uint64_t position);
} // namespace Exchange
