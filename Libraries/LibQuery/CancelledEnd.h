#pragma once

namespace Query
{
/// How the call of a cancelled attempt ended.
enum class cancelled_end {
    Stopped, ///< The other side said that it stopped.
    Answered, ///< It answered all the same.
    Failed, ///< Anything else, which says nothing about cancellation.
};
} // namespace Query
