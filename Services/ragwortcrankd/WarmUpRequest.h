#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>
#include <string>

/// A warm-up request: an extra copy of the first attempt for a shard, sent to a cold replica.
struct warm_up_request {
    std::size_t shard = 0; ///< Index in the plan's shards.
    std::size_t replica = 0; ///< Index in the service state.
    std::string address;
    Core::duration timeRemaining {};
    std::optional<Core::duration> maximumConnectionAge; ///< See Backend::maximumConnectionAge.
};
