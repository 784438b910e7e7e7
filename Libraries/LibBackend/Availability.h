#pragma once

namespace Backend
{
/// Whether this daemon can send a request for a shard now.
enum class availability {
    Available, ///< chooseReplica finds a replica.
    Busy, ///< Replicas could serve, but each is at the bound of what this daemon may have running there.
    ColdElsewhere, ///< Only replicas in cold start are left, and another daemon warms them.
    ColdWaiting, ///< This daemon is to warm the replicas that are left, but has to wait for its predecessor's requests.
    Unserved, ///< No replica that the filter allows takes new work.
};
} // namespace Backend
