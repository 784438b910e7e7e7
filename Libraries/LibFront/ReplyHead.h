#pragma once

#include "LibFront/HttpTypes.h"

#include <optional>

namespace Front
{
enum class response_fault;

/// Returns why a response with this head must not be used, interim or final; nothing if it may be. Applies to responses
/// of replicas, of the store and of other daemons, before anything else is read from them.
[[nodiscard]] std::optional<response_fault> findHeadFault(const reply_head &head);
} // namespace Front
