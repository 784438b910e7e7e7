#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <string>

namespace Forward
{
/// What a replica has registered about itself.
struct replica_entry {
    std::string id;
    std::string service;
    std::string address; ///< IP address and port.
    std::string dataCentre;
    std::string version; ///< Of its software.
    unsigned slots = 1; ///< Requests that it processes at once.
    bool draining = false;
    Core::duration coldFor {}; ///< How much longer it stays cold, as of its registration.
    std::int64_t startedAt = 0; ///< Unix milliseconds; tells two starts under one id apart.
};
} // namespace Forward
