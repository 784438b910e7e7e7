#pragma once

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Backend
{
/// Restricts the replicas that a request may be sent to. It references data of the calling function and must not
/// outlive the call.
struct replica_filter {
    std::string_view shard;
    std::string_view version; ///< Empty: any version.
    const std::set<std::string> *dataCentres = nullptr; ///< Null or empty: any data centre.
    std::span<const std::size_t> exclude; ///< Indices of replicas that already have an attempt of the same request.
};
} // namespace Backend
