#include "LibBackend/ConnectionsPerOwner.h"

#include <algorithm>

namespace Backend
{
/// Part of the limit, in 1/8, that is kept free for a new owner that connects before the old one has let go.
static constexpr std::uint32_t headroomInverse = 8;

std::uint32_t connectionsPerOwner(std::uint32_t connectionLimit, std::uint32_t owners)
{
    if (owners == 0) {
        return 0;
    }
    const std::uint32_t headroom = std::max(1U, connectionLimit / headroomInverse);
    if (connectionLimit <= headroom) {
        return 0;
    }
    return (connectionLimit - headroom) / owners;
}
} // namespace Backend
