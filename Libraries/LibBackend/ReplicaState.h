#pragma once

#include "LibBackend/LoadHint.h"
#include "LibBackend/SlowStartRecord.h"
#include "LibConfiguration/ReplicaSettings.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace Backend
{
/// This daemon's view of one replica.
struct replica_state {
    std::string name;
    Configuration::replica_settings settings;
    bool dataCentreOut = false; ///< The configuration has taken the replica's data centre out of service.
    bool reportedLeaving = false; ///< The replica reported that it accepts no new requests.
    Core::time_point lastHealthRequestAt; ///< When this daemon last sent a health request.
    bool removed = false; ///< No longer configured; the index is reused only after all requests have ended.
    std::uint32_t inFlight = 0; ///< Requests of this daemon that the replica may be executing.
    Core::real_seconds smoothedLatency {}; ///< Exponentially weighted mean; 0: no response yet.
    Core::real_seconds recentMaximumLatency {}; ///< Decaying maximum of the latencies of complete responses.
    Core::time_point respondedAt; ///< When the last complete response arrived.
    std::optional<load_hint> hint;
    std::uint32_t consecutiveFailures = 0;
    Core::time_point avoidUntil; ///< Until then, chosen only if no other replica can serve.

    slow_start_record slowStart; ///< Slow-start progress; its incarnation is the last one reported.
    std::uint32_t warmResponses = 0; ///< Responses not reported as cold, since the level last changed.
    Core::real_seconds warmResponseTime {}; ///< The sum of their latencies.
    Core::time_point slowStartChangedAt; ///< When this daemon's evidence or a peer's record last changed the progress.

    static constexpr std::uint32_t noRank = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t slowStartRank = noRank; ///< This daemon's rank in the view; 0: it runs the replica's slow start.
    Core::time_point slowStartOwnerSince; ///< Start of the handover period: since when this daemon has had rank 0.
    std::string slowStartOwner; ///< The daemon with rank 0; empty: unknown.

    /// Token bucket of the hedges to this replica; its first attempts add tokens. Without this limit, the hedges of all
    /// queries can concentrate on one slow shard and double its load within the service's budget.
    double hedgeTokens = 1.0;

    std::uint32_t consecutiveTimeouts = 0;
    std::optional<Core::time_point>
        lastTimeoutAt; ///< When a response timeout last occurred on a connection to the replica.
};
} // namespace Backend
