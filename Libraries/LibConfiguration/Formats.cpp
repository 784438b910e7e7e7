#include "LibConfiguration/Formats.h"

#include "LibConfiguration/Limits.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace Configuration
{
static bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '.' || character == '-' || character == '_';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

static bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, port);
    return error == std::errc() && next == end && port > 0;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    std::string host(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> addressBytes {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), addressBytes.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), addressBytes.data()) == 1;
}

bool isKeyHash(std::string_view text)
{
    constexpr std::size_t hashDigits = 64;
    return text.size() == hashDigits && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}
} // namespace Configuration
