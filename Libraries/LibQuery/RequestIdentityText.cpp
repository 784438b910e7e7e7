#include "LibQuery/RequestIdentityText.h"

#include <array>
#include <charconv>
#include <system_error>

namespace Query
{
static constexpr std::size_t maximumIdentityLength = 128;
static constexpr std::int64_t maximumTimeMilliseconds = 9'000'000'000'000; // Later times overflow 64-bit nanoseconds.
static constexpr int hexadecimal = 16;

template<typename Number> static std::optional<Number> parseNumber(std::string_view text, int base)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<request_identity> parseRequestIdentity(std::string_view text)
{
    const std::size_t lastDot = text.rfind('.');
    if (text.size() > maximumIdentityLength || lastDot == std::string_view::npos || lastDot == 0) {
        return std::nullopt;
    }
    const std::size_t firstDot = text.rfind('.', lastDot - 1);
    if (firstDot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view daemon = text.substr(0, firstDot);
    const std::size_t hyphen = daemon.rfind('-');
    if (hyphen == std::string_view::npos || hyphen == 0) {
        return std::nullopt;
    }
    const auto incarnation = parseNumber<std::uint64_t>(daemon.substr(hyphen + 1), hexadecimal);
    const auto milliseconds = parseNumber<std::int64_t>(text.substr(firstDot + 1, lastDot - firstDot - 1), 10);
    const std::string_view random = text.substr(lastDot + 1);
    if (!incarnation || !milliseconds || *milliseconds < 0 || *milliseconds > maximumTimeMilliseconds
        || random.empty()) {
        return std::nullopt;
    }
    return request_identity {std::string(daemon.substr(0, hyphen)), *incarnation,
                             Core::wall_time(std::chrono::milliseconds(*milliseconds)), std::string(random)};
}

std::string formatIncarnation(const std::string &virtualMachine, std::uint64_t incarnation)
{
    std::array<char, 17> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), incarnation, hexadecimal);
    return virtualMachine + "-" + std::string(digits.data(), end);
}

std::string formatRequestIdentity(const request_identity &identity)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(identity.createdAt.time_since_epoch()).count();
    return formatIncarnation(identity.virtualMachine, identity.incarnation) + "." + std::to_string(milliseconds) + "."
        + identity.random;
}
} // namespace Query
