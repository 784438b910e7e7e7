#pragma once

#include "LibPlatform/CallFailure.h"
#include "LibPlatform/HttpResponse.h"

namespace Platform
{
/// The end of an HTTP call: a response, or a failure without one.
struct call_outcome {
    call_failure failure = call_failure::None;
    http_response response; ///< Only without a failure.
};
} // namespace Platform
