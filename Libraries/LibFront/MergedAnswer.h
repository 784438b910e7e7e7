#pragma once

#include "LibFront/Answer.h"

#include <string>

namespace Forward
{
struct request_state;
}

namespace Front
{
struct header_names;

/// Returns the response to a query over several shards, made of the parts that have arrived.
[[nodiscard]] answer mergedAnswer(const Forward::request_state &request, const std::string &requestId,
                                  const header_names &names);
} // namespace Front
