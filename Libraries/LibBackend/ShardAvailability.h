#pragma once

#include "LibBackend/Availability.h"

#include <string>

namespace Backend
{
/// Why a shard can or can't be asked from here, and who can ask it instead.
struct shard_availability {
    availability state = availability::Unserved;
    std::string warmer; ///< Only for ColdElsewhere: the daemon that a branch call may go to.
};
} // namespace Backend
