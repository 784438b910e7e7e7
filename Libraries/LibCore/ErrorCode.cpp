#include "LibCore/ErrorCode.h"

namespace Core
{
const char *errorCodeName(error_code code)
{
    switch (code) {
    case error_code::InvalidInput:
        return "invalid_input";
    case error_code::NotFound:
        return "not_found";
    case error_code::Conflict:
        return "conflict";
    case error_code::Unauthorized:
        return "unauthorized";
    case error_code::Unavailable:
        return "unavailable";
    case error_code::TimedOut:
        return "timed_out";
    case error_code::Internal:
        return "internal";
    }
    return "internal";
}
} // namespace Core
