#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Forward
{
/// The memory of responses that are being received, of all replicas together. Each response has a limit of its own,
/// which a gather over many shards could reach many times at once.
struct response_memory {
    std::size_t limit = 67'108'864; ///< In bytes.
    std::size_t total = 0;
    std::map<std::uint64_t, std::size_t> bytesByConnection; ///< Small responses are not recorded.
};

/// Records the number of bytes that a connection holds of its response. Returns the connection to close if all of them
/// exceed the limit: the one that holds most, so that a faulty replica harms no other response.
[[nodiscard]] std::optional<std::uint64_t> recordResponseBytes(response_memory &memory, std::uint64_t connection,
                                                               std::size_t bytes);

/// Records that a connection holds nothing any more.
void releaseResponseBytes(response_memory &memory, std::uint64_t connection);
} // namespace Forward
