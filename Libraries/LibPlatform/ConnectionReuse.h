#pragma once

namespace Platform
{
/// Whether a call may reuse a connection that earlier calls have kept open.
enum class connection_reuse {
    Allowed,
    Forbidden, ///< Prevents libcurl from resending a request when a kept connection turns out to be dead.
};
} // namespace Platform
