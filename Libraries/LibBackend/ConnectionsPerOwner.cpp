#include "LibBackend/ConnectionsPerOwner.h"

#include <algorithm>

namespace Backend
{
/// Inverse of the minimum fraction of the limit that is kept free.
static constexpr std::uint32_t headroomInverse = 8;

std::uint32_t connectionsPerOwner(std::uint32_t connectionLimit, std::uint32_t owners)
{
    if (owners == 0) {
        return 0;
    }
    // The replacement of an owner may connect before the server has detected that its predecessor's connections closed.
    const std::uint32_t withReplacement = connectionLimit / (owners + 1);
    const std::uint32_t withHeadroom = (connectionLimit - connectionLimit / headroomInverse) / owners;
    return std::min(withReplacement, withHeadroom);
}
} // namespace Backend
