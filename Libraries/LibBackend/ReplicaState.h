#pragma once

#include "LibBackend/LoadHint.h"
#include "LibConfiguration/ReplicaSettings.h"
#include "LibCore/Time.h"

#include <cstdint>
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
    bool removed = false; ///< No longer in the configuration; kept while requests run so that indices stay valid.
    std::string incarnation; ///< The last one reported; empty: never heard.
    std::uint32_t inFlight = 0; ///< Requests of this daemon that the replica may be running.
    double smoothedLatencySeconds = 0.0; ///< Exponentially weighted mean; 0: no answer yet.
    std::optional<load_hint> hint;
    std::uint32_t consecutiveFailures = 0;
    Core::time_point avoidUntil; ///< Chosen only if no other replica can serve, until then.
};
} // namespace Backend
