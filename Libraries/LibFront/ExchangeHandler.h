#pragma once

#include "LibFront/Answer.h"
#include "LibFront/HttpTypes.h"

#include <functional>

namespace Front
{
/// Sends the response to one request. Must be called at most once.
using reply_function = std::function<void(answer)>;
/// Reports that the caller has disconnected, so that no response is needed.
using abandon_function = std::function<void()>;
/// Handles one request. If it replies before returning, it returns an empty function.
using exchange_handler = std::function<abandon_function(request_message &&, reply_function)>;
} // namespace Front
