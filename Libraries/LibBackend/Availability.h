#pragma once

namespace Backend
{
/// Whether this daemon can send a request for a shard now, in descending order of preference.
enum class availability {
    Available, ///< chooseReplica() returns a replica.
    Busy, ///< Replicas could serve, but each has reached the limit of requests in flight from this daemon.
    SlowStartElsewhere, ///< Only replicas in slow start remain, and another owner runs their slow start.
    AwaitingHandover, ///< This daemon runs the remaining replicas' slow start, but the handover to it is not complete.
    Unserved, ///< No replica that matches the filter accepts new requests.
};
} // namespace Backend
