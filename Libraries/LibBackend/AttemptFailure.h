#pragma once

namespace Backend
{
/// How an attempt at a replica or a branch ended without a usable answer.
enum class attempt_failure {
    ConnectFailed, ///< No connection could be made; no byte of the request left.
    NotRun, ///< The other side said that it did not run the request.
    SnapshotGone, ///< The replica no longer holds the pinned snapshot; it did not run the request.
    ConnectionLost, ///< The connection broke after the request may have left.
    Silent, ///< No answer within the bound; the connection is condemned, not the replica.
    Faulty, ///< An error answer, or one that is malformed, for another request or from another snapshot.
    Cancelled, ///< The other side stopped because it was asked to.
};

/// Whether the failure proves that the request did not run.
[[nodiscard]] constexpr bool provesNotRun(attempt_failure failure)
{
    return failure == attempt_failure::ConnectFailed || failure == attempt_failure::NotRun
        || failure == attempt_failure::SnapshotGone;
}
} // namespace Backend
