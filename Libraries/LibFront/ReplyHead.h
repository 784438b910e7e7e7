#pragma once

#include "LibFront/HttpTypes.h"

#include <optional>
#include <string>

namespace Front
{
enum class response_fault;

/// Returns whether the head has several fields of this name with different values.
[[nodiscard]] bool hasContradictoryFields(const reply_head &head, const std::string &name);

/// Returns why a response with this head must not be used, interim or final; nothing if it may be. Applies to responses
/// of replicas, of the store and of other daemons, before anything else is read from them.
/// @param requestIdField the field that names the request; empty if there is none
[[nodiscard]] std::optional<response_fault> findHeadFault(const reply_head &head, const std::string &requestIdField);
} // namespace Front
