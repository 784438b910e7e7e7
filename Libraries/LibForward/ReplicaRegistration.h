#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <string>

namespace Forward
{
/// The contents of a replica's registration.
struct replica_registration {
    std::string id;
    std::string service;
    std::string address; ///< IP address and port.
    std::string dataCentre;
    std::string version; ///< Version of the replica's software.
    unsigned slots = 1; ///< Requests that it processes concurrently.
    bool draining = false;
    Core::duration remainingSlowStart {}; ///< Remaining slow-start time when the registration was written.
    std::int64_t startedAt = 0; ///< Unix time in milliseconds; distinguishes restarts under the same id.
};
} // namespace Forward
