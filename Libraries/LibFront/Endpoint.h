#pragma once

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Front
{
/// An IP address and a port.
struct endpoint {
    boost::asio::ip::address address;
    std::uint16_t port = 0;
};

/// Parses text such as `10.0.0.1:80`. Returns nothing if it is malformed.
[[nodiscard]] std::optional<endpoint> parseEndpoint(std::string_view text);
} // namespace Front
