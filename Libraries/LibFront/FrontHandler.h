#pragma once

#include "LibFront/ExchangeHandler.h"

namespace Front
{
struct front_environment;

/// Handles a caller's request: selects its route in the configuration in force and starts a request task.
[[nodiscard]] abandon_function handleCallerRequest(front_environment &environment, request_message &&request,
                                                   const reply_function &reply);
} // namespace Front
