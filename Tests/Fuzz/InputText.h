#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Views the bytes that libFuzzer hands over as a text.
[[nodiscard]] inline std::string_view inputText(const std::uint8_t *data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    return {reinterpret_cast<const char *>(data), size};
}
