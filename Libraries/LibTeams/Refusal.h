#pragma once

#include "LibTeams/RefusalReason.h"

#include <chrono>

namespace Teams
{
/// A refusal with its reason and the recommended delay before a retry.
struct refusal {
    refusal_reason reason = refusal_reason::OverShare;
    std::chrono::milliseconds retryAfter {0};
};
} // namespace Teams
