#pragma once

#include "LibExchange/FeedUpdate.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Exchange
{
[[nodiscard]] std::string encodeFeed(const std::vector<feed_update> &updates, Core::time_point now);

/// Returns nothing if the bytes are not a valid page of updates.
[[nodiscard]] std::optional<std::vector<feed_update>> decodeFeed(std::string_view bytes, Core::time_point now);
} // namespace Exchange
