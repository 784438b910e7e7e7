#pragma once

namespace Backend
{
/// The reason why an attempt at a replica or a branch ended without a usable response.
enum class attempt_failure {
    ConnectFailed, ///< No connection could be established; no byte of the request was sent.
    NotRun, ///< The server reported that it did not execute the request.
    SnapshotGone, ///< The replica no longer holds the pinned snapshot; it did not execute the request.
    ConnectionLost, ///< The connection failed after the request may have been sent.
    ResponseTimeout, ///< No response within the response timeout. It is attributed to the connection, not to the
                     ///< replica.
    InvalidResponse, ///< An error response, or one that is malformed, for another request or from another snapshot.
    Cancelled, ///< The server stopped the request because it was asked to.
};

/// Returns whether the failure proves that the request was not executed.
[[nodiscard]] constexpr bool provesNotRun(attempt_failure failure)
{
    return failure == attempt_failure::ConnectFailed || failure == attempt_failure::NotRun
        || failure == attempt_failure::SnapshotGone;
}
} // namespace Backend
