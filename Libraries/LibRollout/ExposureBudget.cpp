#include "LibRollout/ExposureBudget.h"

#include "LibRollout/RequestCounts.h"

#include <algorithm>

namespace Rollout
{
bool mayExpose(const request_counts &counts, double allowedFraction)
{
    return static_cast<double>(counts.newVersion + 1) <= allowedFraction * static_cast<double>(counts.total + 1);
}

double affordableShare(double planned, const request_counts &counts, double expectedRequests, double allowedFraction)
{
    const double expected = std::max(expectedRequests, 1.0);
    const double affordable =
        allowedFraction * (static_cast<double>(counts.total) + expected) - static_cast<double>(counts.newVersion);
    return std::clamp(affordable / expected, 0.0, planned);
}

bool mayExposeRest(const request_counts &counts, double remainingRequests, double allowedFraction)
{
    return static_cast<double>(counts.newVersion) + remainingRequests
        <= allowedFraction * (static_cast<double>(counts.total) + remainingRequests);
}
} // namespace Rollout
