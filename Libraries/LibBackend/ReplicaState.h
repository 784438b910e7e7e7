#pragma once

#include "LibBackend/LoadHint.h"
#include "LibBackend/WarmthRecord.h"
#include "LibConfiguration/ReplicaSettings.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace Backend
{
/// What this daemon knows of one replica.
struct replica_state {
    std::string name;
    Configuration::replica_settings settings;
    bool dataCentreOut = false; ///< The configuration has taken the replica's data centre out of service.
    bool reportedLeaving = false; ///< The replica itself said that it takes no new work.
    Core::time_point healthAskedAt; ///< The last health request of this daemon.
    bool removed = false; ///< No longer in the configuration; kept while requests run so that indices stay valid.
    std::uint32_t inFlight = 0; ///< Requests of this daemon that the replica may be running.
    Core::real_seconds smoothedLatency {}; ///< Exponentially weighted mean; 0: no answer yet.
    Core::real_seconds slowestRecent {}; ///< Decaying maximum of the latencies of whole answers.
    Core::time_point answeredAt; ///< The last whole answer.
    std::optional<load_hint> hint;
    std::uint32_t consecutiveFailures = 0;
    Core::time_point avoidUntil; ///< Chosen only if no other replica can serve, until then.

    warmth_record warmth; ///< Its incarnation is the last one heard.
    std::uint32_t warmAnswers = 0; ///< Answers that were not reported cold, since the level last changed.
    Core::real_seconds warmAnswerTime {}; ///< The sum of their latencies.
    Core::time_point warmthChangedAt; ///< By own evidence or by a peer's record.

    static constexpr std::uint32_t noRank = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t warmerRank = noRank; ///< This daemon's place in the view; 0: it warms the replica.
    Core::time_point warmerSince; ///< Since when this daemon has had place 0 without a break.
    std::string warmer; ///< The daemon with place 0; empty: unknown.

    /// Hedges that the replica may take; its first attempts earn them. Without this bound, hedges of every query can
    /// gather at one slow shard and double its load within the service's budget.
    double hedgeTokens = 1.0;

    std::uint32_t consecutiveSilences = 0;
    std::optional<Core::time_point> silentAt; ///< The last silence of a connection to the replica.
};
} // namespace Backend
