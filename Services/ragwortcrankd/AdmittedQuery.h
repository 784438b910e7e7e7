#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/Time.h"
#include "VersionChoice.h"

#include <string>

/// The data of a query that admission and rollouts need from its start to its end.
struct admitted_query {
    std::string team;
    std::string service;
    std::string route;
    version_choice choice;
    Configuration::priority_class priority = Configuration::priority_class::Ordinary;
    double cost = 0.0; ///< Number of shard requests, not counting hedges and retries.
    Core::time_point startedAt;
    Core::time_point deadline;
};
