#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/Time.h"
#include "VersionChoice.h"

#include <string>

/// What admission and rollouts must know of a query from its start to its end.
struct admitted_query {
    std::string team;
    std::string service;
    std::string route;
    version_choice choice;
    Configuration::priority_class priority = Configuration::priority_class::Ordinary;
    double cost = 0.0; ///< Shard requests, without hedges and retries.
    Core::time_point startedAt;
    Core::time_point deadline;
};
