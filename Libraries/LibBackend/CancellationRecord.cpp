#include "LibBackend/CancellationRecord.h"

namespace Backend
{
static constexpr double newestWeight = 0.05;

void recordCancellationHonoured(cancellation_record &record)
{
    record.honouredFraction += newestWeight * (1.0 - record.honouredFraction);
}

void recordCancellationIgnored(cancellation_record &record)
{
    record.honouredFraction -= newestWeight * record.honouredFraction;
}
} // namespace Backend
