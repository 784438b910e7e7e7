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
    std::string text; ///< What to search for, or what to do; handed to the backend servers unchanged.
    std::string shardKey; ///< Decides the shard on routes that go to one shard.
    std::string traceParent; ///< W3C trace context of the caller's span; empty: none.
    Core::duration timeRemaining {}; ///< Zero: the route's deadline.
};
} // namespace Query
