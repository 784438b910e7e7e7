#pragma once

#include "LibPlatform/CallFailure.h"
#include "LibPlatform/HttpResponse.h"

namespace Platform
{
/// The outcome of an HTTP call: a response or a failure.
struct call_outcome {
    call_failure failure = call_failure::None;
    http_response response; ///< Only valid without a failure.
};
} // namespace Platform
