#pragma once

namespace Forward
{
struct route;
}

namespace Front
{
/// What a replica's response to a request is used for.
enum class request_kind {
    Idempotent, ///< Forwarded to the caller, who may send the request again after any failure.
    AtMostOnce, ///< Forwarded to the caller, who sends the request again only if it was not executed.
    Part, ///< Merged with the responses of other shards.
};

[[nodiscard]] request_kind kindOf(const Forward::route &matched);
} // namespace Front
