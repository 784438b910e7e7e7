#pragma once

namespace Forward
{
/// Why an attempt ended without a usable answer.
enum class attempt_failure {
    NotSent, ///< No connection could be had; no byte of the request left.
    NotExecuted, ///< The replica said that it did not run the request.
    OtherInstance, ///< Another replica answers at the address; it did not run the request.
    Error, ///< The replica ran the request and answered with a failure.
    Broken, ///< The connection ended or the answer was spoiled after the request was sent; it may have run.
    Silent, ///< No answer for so long that the connection was given up; the request may have run.
};

/// Whether the request certainly did not run in an attempt that ended so.
[[nodiscard]] constexpr bool provesNotRun(attempt_failure failure)
{
    return failure == attempt_failure::NotSent || failure == attempt_failure::NotExecuted
        || failure == attempt_failure::OtherInstance;
}
} // namespace Forward
