#include "LibExchange/FeedEntry.h"

#include <charconv>

namespace Exchange
{
std::string encodeSuspectedRemoval(Core::duration wait)
{
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

Core::duration decodeSuspectedRemoval(const std::string &content)
{
    std::int64_t milliseconds = 0;
    const auto [end, failure] = std::from_chars(content.data(), content.data() + content.size(), milliseconds);
    return failure == std::errc() && milliseconds > 0 ? std::chrono::milliseconds(milliseconds)
                                                      : std::chrono::milliseconds(0);
}
} // namespace Exchange
