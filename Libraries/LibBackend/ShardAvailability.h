#pragma once

#include "LibBackend/Availability.h"

#include <string>

namespace Backend
{
/// Whether this daemon can send a request for a shard now, and which daemon can if this one cannot.
struct shard_availability {
    availability state = availability::Unserved;
    std::string slowStartOwner; ///< Only for SlowStartElsewhere: the daemon that a branch request may be sent to.
};
} // namespace Backend
