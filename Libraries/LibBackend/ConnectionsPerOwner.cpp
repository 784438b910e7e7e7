#include "LibBackend/ConnectionsPerOwner.h"

#include <algorithm>

namespace Backend
{
/// The part of the limit that is kept free at the least, as its inverse.
static constexpr std::uint32_t headroomInverse = 8;

std::uint32_t connectionsPerOwner(std::uint32_t connectionLimit, std::uint32_t owners)
{
    if (owners == 0) {
        return 0;
    }
    // A replaced owner may connect before the server has seen that its predecessor is gone.
    const std::uint32_t withReplacement = connectionLimit / (owners + 1);
    const std::uint32_t withHeadroom = (connectionLimit - connectionLimit / headroomInverse) / owners;
    return std::min(withReplacement, withHeadroom);
}
} // namespace Backend
