#pragma once

namespace Forward
{
/// What a retry is for.
enum class retry_purpose {
    Required, ///< The previous attempt failed; without another one the service's answer is lost.
    Hedge, ///< The previous attempt is still running.
};
} // namespace Forward
