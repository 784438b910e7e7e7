#pragma once

#include "LibFront/Answer.h"
#include "LibFront/HttpTypes.h"

#include <functional>

namespace Front
{
/// Delivers the answer to one request; to be called once.
using reply_function = std::function<void(answer)>;
/// Tells that the caller has left and no answer is wanted any more.
using abandon_function = std::function<void()>;
/// Handles one request. May reply before it returns, and then returns an empty function.
using exchange_handler = std::function<abandon_function(request_message &&, reply_function)>;
} // namespace Front
