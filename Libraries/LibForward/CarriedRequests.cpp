#include "LibForward/CarriedRequests.h"

#include <algorithm>
#include <functional>

namespace Forward
{
/// A connection is replaced after this many requests, which bounds the memory for their ids.
static constexpr std::size_t maximumRequestsPerConnection = 1000;

static std::uint64_t hashOf(std::string_view requestId)
{
    return std::hash<std::string_view> {}(requestId);
}

bool mayCarry(const carried_requests &carried, std::string_view requestId)
{
    if (requestId.empty()) {
        return true;
    }
    return carried.idHashes.size() < maximumRequestsPerConnection
        && !std::binary_search(carried.idHashes.begin(), carried.idHashes.end(), hashOf(requestId));
}

void recordCarried(carried_requests &carried, std::string_view requestId)
{
    if (requestId.empty()) {
        return;
    }
    const std::uint64_t hash = hashOf(requestId);
    carried.idHashes.insert(std::lower_bound(carried.idHashes.begin(), carried.idHashes.end(), hash), hash);
}
} // namespace Forward
