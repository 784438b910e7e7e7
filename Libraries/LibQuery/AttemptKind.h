#pragma once

namespace Query
{
/// The reason for which an attempt is sent.
enum class attempt_kind {
    First,
    Retry, ///< All previous attempts for the shard have failed.
    Hedge, ///< Another attempt for the shard is still in flight.
};
} // namespace Query
