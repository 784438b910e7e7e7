#pragma once

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Backend
{
/// Which replicas a request may be sent to. It refers to the caller's data and lives no longer than one call.
struct replica_filter {
    std::string_view shard;
    std::string_view version; ///< Empty: any version.
    const std::set<std::string> *dataCentres = nullptr; ///< Null or empty: any data centre.
    std::span<const std::size_t> exclude; ///< Replicas that already have an attempt of the same request.
};
} // namespace Backend
