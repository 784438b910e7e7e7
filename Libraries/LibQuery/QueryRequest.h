#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Query
{
/// A caller's request after authentication.
struct query_request {
    std::string requestId;
    std::string team;
    std::string service;
    std::string route;
    std::string text; ///< The search expression or command; sent to the backend servers unchanged.
    std::string shardKey; ///< Selects the shard on routes that use a single shard.
    std::string traceParent; ///< W3C trace context of the caller's span; empty: none.
    Core::duration timeRemaining {}; ///< Time until the caller's deadline; zero: the route's deadline applies.
};
} // namespace Query
