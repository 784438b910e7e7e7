#pragma once

#include <cstdint>
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

/// What a daemon that knows the kind up to `position` lacks.
[[nodiscard]] feed_kind newsAfter(const feed_state &state, const std::string &kind, std::uint64_t position);
} // namespace Exchange
