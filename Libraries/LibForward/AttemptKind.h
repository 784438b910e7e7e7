#pragma once

namespace Forward
{
/// The reason for which an attempt is sent. All but the first attempt are counted by the service's retry budget.
enum class attempt_kind {
    First,
    Retry, ///< The previous attempt failed; without another one the service's answer is lost.
    Hedge, ///< The previous attempt is still running.
};
} // namespace Forward
