#pragma once

#include "LibCore/Time.h"

namespace Forward
{
enum class locality;
struct replica_state;
struct service_state;

/// The usual time on the network for a request and its answer.
[[nodiscard]] Core::duration wayThereAndBack(locality distance);

/// The replica's recent part of failures, faded by the time since it was last seen.
[[nodiscard]] double fadedErrorRate(const replica_state &replica, Core::time_point now);

/// Whether requests are outstanding for so long that the replica seems to stand still.
[[nodiscard]] bool seemsStuck(const replica_state &replica, const service_state &service, Core::time_point now);

/// How long an answer would take if a request were sent now, from the replica's recent answers, its queue and failures.
[[nodiscard]] Core::real_seconds expectedLatency(const replica_state &replica, const service_state &service,
                                                 Core::time_point now);
} // namespace Forward
