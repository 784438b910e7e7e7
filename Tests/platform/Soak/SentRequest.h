#pragma once

#include "Part.h"
#include "RouteKind.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Soak
{
/// One request of a caller and what became of it at the replicas.
struct sent_request {
    route_kind kind = route_kind::Single;
    std::string method;
    std::string path;
    std::string body;
    std::size_t daemon = 0;
    std::uint64_t configuration = 0; ///< The newest version that the store had accepted when the request was sent.
    std::chrono::steady_clock::time_point sentAt;
    int status = 0; ///< Of the answer; 0: none yet, or the connection ended.
    std::map<std::string, part> parts; ///< Answers of replicas, by digest.
    std::map<std::string, int> runs; ///< How often each service ran it.
};
} // namespace Soak
