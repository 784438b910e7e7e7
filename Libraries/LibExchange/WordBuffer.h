#pragma once

#include <capnp/common.h>

#include <cstring>
#include <optional>
#include <string_view>
#include <vector>

namespace Exchange
{
/// A message's bytes at an aligned place, as its reader needs them.
using word_buffer = std::vector<capnp::word>;

/// Returns nothing if the bytes are no whole number of words.
[[nodiscard]] inline std::optional<word_buffer> copyWords(std::string_view bytes)
{
    if (bytes.size() % sizeof(capnp::word) != 0) {
        return std::nullopt;
    }
    word_buffer words(bytes.size() / sizeof(capnp::word));
    std::memcpy(static_cast<void *>(words.data()), bytes.data(), bytes.size());
    return words;
}
} // namespace Exchange
