#pragma once

namespace Query
{
/// How the call of a cancelled attempt ended.
enum class cancelled_attempt_end {
    Stopped, ///< The target reported that it stopped the request.
    Answered, ///< The target answered despite the cancellation.
    Failed, ///< Any other failure; it does not show whether the target honours cancellation.
};
} // namespace Query
