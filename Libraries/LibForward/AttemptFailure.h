#pragma once

namespace Forward
{
/// Why an attempt ended without a usable response.
enum class attempt_failure {
    NotSent, ///< No connection could be established; no byte of the request was sent.
    Withdrawn, ///< Not sent, because its deadline or its replica was gone when a connection became available.
    NotExecuted, ///< The replica reported that it did not execute the request.
    OtherInstance, ///< A different replica instance listens at the address; it did not execute the request.
    Error, ///< The replica executed the request and responded with an error.
    ConnectionLost, ///< The connection was lost or the response was malformed; the request may have been executed.
    NoResponse, ///< The connection was closed for lack of a response; the request may have been executed.
};

/// Whether the failure guarantees that the attempt did not execute the request.
[[nodiscard]] constexpr bool guaranteesNotExecuted(attempt_failure failure)
{
    return failure == attempt_failure::NotSent || failure == attempt_failure::Withdrawn
        || failure == attempt_failure::NotExecuted || failure == attempt_failure::OtherInstance;
}

/// Whether the failure shows that no byte of the attempt reached a replica.
[[nodiscard]] constexpr bool isUnsent(attempt_failure failure)
{
    return failure == attempt_failure::NotSent || failure == attempt_failure::Withdrawn;
}
} // namespace Forward
