#pragma once

#include <capnp/common.h>

#include <cstring>
#include <optional>
#include <string_view>
#include <vector>

namespace Exchange
{
/// An aligned copy of a message, as the Cap'n Proto reader requires it.
using word_buffer = std::vector<capnp::word>;

/// Returns nothing if the size is not a multiple of the word size.
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
