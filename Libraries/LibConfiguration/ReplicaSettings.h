#pragma once

#include <cstdint>
#include <string>

namespace Configuration
{
/// One backend server process that serves one shard in one version.
struct replica_settings {
    std::string shard;
    std::string address; ///< IP address and port, as in 127.0.0.1:9000.
    std::string dataCentre;
    std::string version;
    bool leaving = false; ///< If true, the replica drains: it finishes running requests and receives no new ones.
    bool operator==(const replica_settings &) const = default;
};
} // namespace Configuration
