#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bench
{
/// Sends `rounds` fan-outs of one request to each address by libcurl's multi interface and nothing else, on kept
/// handles and connections. Returns the bytes received.
std::uint64_t runPlainFanOut(const std::vector<std::string> &addresses, int rounds);
} // namespace Bench
