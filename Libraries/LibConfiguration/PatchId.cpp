#include "LibConfiguration/PatchId.h"

#include <algorithm>
#include <charconv>

namespace Configuration
{
static constexpr std::size_t maximumTokenLength = 200;

static bool isTokenCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '.' || character == '_';
}

std::optional<std::uint64_t> originalBaseNumber(std::string_view patchId)
{
    std::uint64_t number = 0;
    const char *const end = patchId.data() + patchId.size();
    const auto [next, error] = std::from_chars(patchId.data(), end, number);
    if (error != std::errc() || next == end || *next != '-') {
        return std::nullopt;
    }
    const std::string_view token(next + 1, static_cast<std::size_t>(end - next - 1));
    if (token.empty() || token.size() > maximumTokenLength
        || !std::all_of(token.begin(), token.end(), isTokenCharacter)) {
        return std::nullopt;
    }
    return number;
}

std::string makePatchId(std::uint64_t originalNumber, std::string_view token)
{
    return std::to_string(originalNumber).append("-").append(token);
}
} // namespace Configuration
