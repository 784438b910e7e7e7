#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Backend
{
/// Which replicas a request may be sent to.
struct replica_filter {
    std::string shard;
    std::string version; ///< Empty: any version.
    const std::set<std::string> *dataCentres = nullptr; ///< Null or empty: any data centre.
    std::vector<std::size_t> exclude; ///< Replicas that already have an attempt of the same request.
};
} // namespace Backend
