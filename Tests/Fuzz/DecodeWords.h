#pragma once

#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <utility>

/// Decodes the input as one Cap'n Proto message. Nothing if its framing or pointers are broken, which the RPC layer
/// reports to the sender by the same exception.
template<typename Schema, typename Decode>
[[nodiscard]] auto decodeWords(const std::uint8_t *data, std::size_t size, Decode decode)
    -> std::optional<decltype(decode(std::declval<typename Schema::Reader>()))>
{
    auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
    std::memcpy(words.begin(), data, words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(words);
        return decode(reader.getRoot<Schema>());
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}
