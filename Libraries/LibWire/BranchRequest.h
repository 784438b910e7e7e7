#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wire
{
/// The part of a query that a root sends to an owner of the shards' replicas.
struct branch_request {
    std::string requestId;
    std::string service;
    std::string route;
    std::string team;
    std::string snapshot; ///< The pinned snapshot.
    std::string version; ///< Empty: any version.
    std::string text;
    std::string traceParent;
    Core::duration timeRemaining {};
    bool idempotent = true;
    std::vector<std::string> shards;
    std::vector<std::string> dataCentres; ///< Data centres allowed; empty: all.
    std::uint64_t configurationNumber = 0; ///< The root's; a daemon with a lower one may not have the snapshot yet.
};
} // namespace Wire
