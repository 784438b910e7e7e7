#include "LibFront/Endpoint.h"

#include <charconv>

namespace Front
{
std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint result;
    boost::system::error_code error;
    result.address = boost::asio::ip::make_address(text.substr(0, colon), error);
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    if (error || failure != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return result;
}
} // namespace Front
