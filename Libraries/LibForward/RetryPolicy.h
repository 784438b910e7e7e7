#pragma once

namespace Forward
{
/// Whether a request that may already have been executed may be sent again.
enum class retry_policy {
    Idempotent, ///< It may be executed again, also on several replicas concurrently.
    AtMostOnce, ///< It is retried only if the earlier attempt certainly did not execute it.
};
} // namespace Forward
