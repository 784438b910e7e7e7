#pragma once

#include "LibFront/ExchangeHandler.h"

namespace Front
{
struct front_environment;

/// Starts a caller's request: finds its route in the configuration in force and runs it.
[[nodiscard]] abandon_function handleCallerRequest(front_environment &environment, request_message &&request,
                                                   const reply_function &reply);
} // namespace Front
