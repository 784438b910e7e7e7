#pragma once

#include "LibCore/ErrorCode.h"

#include <string>

namespace Core
{
/// An error with its kind and a message for people. The message names the offending value.
struct error {
    error_code code = error_code::Internal;
    std::string message;
};
} // namespace Core
