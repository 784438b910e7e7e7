#pragma once

namespace Forward
{
/// What may happen to a request that may already have run.
enum class repeat_policy {
    Idempotent, ///< It may run again, also on several replicas at once.
    AtMostOnce, ///< It is sent again only after a replica said that it did not run it.
};
} // namespace Forward
