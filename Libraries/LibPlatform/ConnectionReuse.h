#pragma once

namespace Platform
{
/// Whether a call may use a connection that earlier calls left open.
enum class connection_reuse {
    Allowed,
    Forbidden, ///< libcurl resends a request by itself when a kept connection turns out dead; this rules it out.
};
} // namespace Platform
