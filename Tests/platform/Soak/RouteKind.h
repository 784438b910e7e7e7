#pragma once

namespace Soak
{
/// The kinds of routes that the soak's callers use.
enum class route_kind {
    Gather, ///< All shards; may be repeated.
    Single, ///< One replica; may be repeated.
    Once, ///< One replica; runs at most once.
    Moving, ///< One replica of the service that the newest configuration names.
};
} // namespace Soak
