#pragma once

/// Bounds how many requests a new version gets before its rollout ends. Each daemon keeps the bound for its own
/// requests, counted and not estimated, so that the sum over all daemons keeps it too: without messages, whatever the
/// traffic does, and however late or often daemons start.
namespace Rollout
{
struct request_counts;

/// Whether one more request to the new version keeps within `allowedFraction` of all requests.
[[nodiscard]] bool mayExpose(const request_counts &counts, double allowedFraction);

/// Returns the share of the next `expectedRequests` that may go to the new version, at most `planned`.
[[nodiscard]] double affordableShare(double planned, const request_counts &counts, double expectedRequests,
                                     double allowedFraction);

/// Whether the new version may get all of the `remainingRequests` until the end of the rollout's time.
[[nodiscard]] bool mayExposeRest(const request_counts &counts, double remainingRequests, double allowedFraction);
} // namespace Rollout
