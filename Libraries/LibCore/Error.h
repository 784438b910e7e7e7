#pragma once

#include "LibCore/ErrorCode.h"

#include <string>

namespace Core
{
/// An error code with a human-readable message. The message contains the offending value.
struct error {
    error_code code = error_code::Internal;
    std::string message;
};
} // namespace Core
