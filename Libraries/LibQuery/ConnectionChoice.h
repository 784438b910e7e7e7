#pragma once

namespace Query
{
/// Selects the connection for an attempt.
enum class connection_choice {
    Any,
    Fresh, ///< A new connection, because an attempt on a pooled one has just timed out.
};
} // namespace Query
