#pragma once

namespace Backend
{
/// Whether a service's backend servers give a slot back when they are asked to stop.
struct cancellation_record {
    double honouredPart = 1.0; ///< Of the recent cancellations; 1 until one was seen to be ignored.
};

void recordCancellationHonoured(cancellation_record &record);
void recordCancellationIgnored(cancellation_record &record);
} // namespace Backend
