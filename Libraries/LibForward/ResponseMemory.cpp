#include "LibForward/ResponseMemory.h"

#include <algorithm>

namespace Forward
{
/// Responses up to this size are not recorded, so that the usual ones cost nothing.
static constexpr std::size_t smallResponseBytes = 16'384;

std::optional<std::uint64_t> recordResponseBytes(response_memory &memory, std::uint64_t connection, std::size_t bytes)
{
    if (bytes <= smallResponseBytes) {
        return std::nullopt;
    }
    std::size_t &recorded = memory.bytesByConnection[connection];
    memory.total = memory.total - recorded + bytes;
    recorded = bytes;
    if (memory.total <= memory.limit) {
        return std::nullopt;
    }
    return std::max_element(memory.bytesByConnection.begin(), memory.bytesByConnection.end(),
                            [](const auto &left, const auto &right) { return left.second < right.second; })
        ->first;
}

void releaseResponseBytes(response_memory &memory, std::uint64_t connection)
{
    const auto found = memory.bytesByConnection.find(connection);
    if (found != memory.bytesByConnection.end()) {
        memory.total -= found->second;
        memory.bytesByConnection.erase(found);
    }
}
} // namespace Forward
