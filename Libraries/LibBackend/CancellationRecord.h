#pragma once

namespace Backend
{
/// Tracks whether a service's backend servers release the slot of a request that is cancelled.
struct cancellation_record {
    double honouredFraction = 1.0; ///< Exponentially weighted fraction; 1 until a cancellation is ignored.
};

void recordCancellationHonoured(cancellation_record &record);
void recordCancellationIgnored(cancellation_record &record);
} // namespace Backend
